#!/usr/bin/env bash
# Builds the stand-ins of all scripts into review/bin. It needs Go and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/standin ./review/standin
