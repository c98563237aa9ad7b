#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 14 into target/. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-standin-3 ./review/_standin3
