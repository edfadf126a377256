#!/usr/bin/env bash
# Regenerates the committed peer protocol code. Needs protoc on the PATH; the build does not.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -modfile=tools/go.mod -o "$bin" google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
  --go-drpc_out=. --go-drpc_opt=paths=source_relative internal/peer/peerpb/peer.proto
