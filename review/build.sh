#!/bin/sh
# Builds the stand-ins that the scripts of the review start.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-standin ./review/standin
