#!/usr/bin/env bash
# Builds the stand-ins and clients of all cases into target/review/. The program
# itself is built with the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/...
