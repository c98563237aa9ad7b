#!/bin/sh
# Builds the stand-ins that the scripts start. Run it in the root of the repository.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
