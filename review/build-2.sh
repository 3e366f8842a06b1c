#!/bin/bash
# Builds the stand-ins of the cases review/4 to review/8; run it after the build of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -o target/review-2/standin2.test ./review/standin2
