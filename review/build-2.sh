#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/4 to review/8 start. The project's own programs are built by
# the command of deploy/system.toml before it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/standin2 ./review/standin2
