#!/bin/sh
# Builds the stand-ins of the second review, cases 4 and 5: bytecode of the shared parts and of the scripts.
# They need nothing but the standard library. The system itself is built by the command of the deploy file.
cd "$(dirname "$0")" && exec python3 -m compileall -q rig 4 5
