#!/usr/bin/env bash
# Builds the stand-ins of the third review, after the build of the deploy file. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin-3/platform"
CGO_ENABLED=0 go build -o ../../../target/review-3/standin-3 .
