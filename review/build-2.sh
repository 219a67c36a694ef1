#!/bin/sh
# Builds the stand-ins of review/6 to review/10.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-stand2 ./review/stand2
