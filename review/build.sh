#!/bin/sh
# Build the stand-ins that the scripts of the review start: bytecode of plain Python, without libraries.
set -e
cd "$(dirname "$0")/.."
exec python3 -m compileall -q review
