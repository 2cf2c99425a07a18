#!/usr/bin/env bash
# Fails on tracked file names with a space; they come from a mistyped shell command.
set -euo pipefail
found=$(git ls-files | grep ' ' || true)
[ -z "$found" ] && exit 0
printf 'tracked names with a space; remove or rename them:\n%s\n' "$found" >&2
exit 1
