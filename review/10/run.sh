#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if not run.
cd "$(dirname "$0")" || exit 2
exec python3 play.py
