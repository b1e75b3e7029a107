#!/bin/bash
# Builds the stand-ins of the scripts: they use only the standard library, so they are compiled.
cd "$(dirname "$0")/.." || exit 1
mkdir -p target/review || exit 1
exec env PYTHONPYCACHEPREFIX=target/review python3 -m compileall -q review
