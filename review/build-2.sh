#!/bin/sh
# Builds the stand-ins of cases 6 to 10, the project's own among them, into target/. It needs no network.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
GOWORK=off go build -buildvcs=false -o ../../target/standin-2 .
