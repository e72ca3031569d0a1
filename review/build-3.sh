#!/usr/bin/env bash
# Builds the stand-in that the scripts of cases 11 to 15 start. It needs the Go toolchain alone, no module and no network.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target
GOWORK=off CGO_ENABLED=0 go build -buildvcs=false -o ../../target/standin-3 .
