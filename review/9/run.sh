#!/bin/sh
# Plays the case and writes record.txt beside this file; TROUBLE=0 plays it without the disruption.
exec python3 "$(dirname "$0")/case.py"
