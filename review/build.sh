#!/usr/bin/env bash
# Compiles the stand-ins of the scripts; run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD/tests:$PWD/review"
python3 -m compileall -q tests/standins review
python3 -c "import harness, links, standins.siterunner, store"
