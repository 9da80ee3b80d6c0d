#!/bin/sh
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standin ./review/standin-2
