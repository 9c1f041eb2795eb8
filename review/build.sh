#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, after the build of the deploy file. It needs the Go toolchain alone.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
go build -o ../../target/standin .
