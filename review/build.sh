#!/bin/bash
# Builds the stand-ins of the review's cases: platform, workers and users, in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -o target/review-standin ./review/standin
