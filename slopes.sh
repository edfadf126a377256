#!/usr/bin/env bash
# Prints again the slopes from which docs/CAPACITY.md is worked out. Takes some
# five minutes; run it on an otherwise idle machine.
set -euo pipefail
cd "$(dirname "$0")"
bench() {
  echo "## $1: $2"
  go test -run '^$' -bench "$2" "./$1" | grep '^Benchmark' || true
}
bench internal/permit 'Admit'
bench internal/route 'Plan'
bench internal/membership 'Beat|Step|ChangeSpread'
bench internal/peer 'Handshake|Beat'
bench internal/atmostonce '.'
bench internal/endpoint 'Stream'
bench internal/operator 'Trace'
bench internal/platform 'CacheMemory'
bench pkg/manifest '.'
bench internal/loopback 'ChangeInForce|Path'
echo "## internal/membership: bytes, processor time and memory of whole fleets"
go test -count 1 -run 'TestControlBytes|TestKernelMemory' -v ./internal/membership -target | grep 'nodes,'
echo "## internal/platform: calls of the readers of 330 nodes"
go test -count 1 -run 'TestFleet' -v ./internal/platform -nodes 330 | grep 'calls a second'
