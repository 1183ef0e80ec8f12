#!/bin/sh
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case could not run.
# Writes what was sent, answered and run to record.txt in this folder.
cd "$(dirname "$0")" && exec python3 run.py
