#!/bin/bash
# Builds the stand-ins of the cases into review/bin. They use the standard library only.
set -e
cd "$(dirname "$0")/platform"
mkdir -p ../bin
GOTOOLCHAIN=local GOWORK=off GOPROXY=off go build -o ../bin/ ./...
