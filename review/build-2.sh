#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the node processes. Their stand-ins are
# Python files that need the standard library alone, so that only their syntax is checked here. The
# node processes come from the build of `deploy/system.toml`, which has to be run before.
set -eu
cd "$(dirname "$0")"
test -d ../target/deps/pollenglade_platform || { echo "run the build of the deploy file" >&2; exit 1; }
for file in common-2/harness.py */play.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
