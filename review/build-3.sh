#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. Run it from anywhere after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand3 ./review/stand3
