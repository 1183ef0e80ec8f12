#!/bin/sh
# Builds the stand-ins that the scripts start; they use the standard library.
cd "$(dirname "$0")" && python3 -m compileall -q standins.py ./*/run.py
