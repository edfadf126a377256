#!/bin/sh
# Builds the stand-ins that the cases start. It needs no network: the module has no
# dependencies.
set -e
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOTOOLCHAIN=local GOPROXY=off go build -buildvcs=false -o ../../target/review .
