#!/usr/bin/env bash
# Builds the program that the scripts of cases 11 to 15 start, with all stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/rig3 ./review/rig3
