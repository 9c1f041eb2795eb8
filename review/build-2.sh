#!/bin/bash
# Builds what the scripts of the second review start beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
CGO_ENABLED=0 GOFLAGS=-buildvcs=false GOTOOLCHAIN=local GOPROXY=off go build -o ../../target/review-standin-2 .
