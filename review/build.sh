#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. Needs no network: they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/standin .
