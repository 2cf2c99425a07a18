#!/bin/sh
# Installs the libraries and the packages of this repository into target/deps.
set -eu
mkdir -p target
if [ ! target/libraries.done -nt deploy/requirements.txt ] ||
    [ ! target/libraries.done -nt deploy/build.sh ]; then
    python3 -m pip install --quiet --disable-pip-version-check --upgrade \
        --target target/deps --requirement deploy/requirements.txt
    # A copy of the tree changes modification times, and pip compiles modules that are checked with
    # them; -f replaces these, which compileall takes for up to date.
    python3 -m compileall -q -f --invalidation-mode unchecked-hash target/deps
    touch target/libraries.done
fi
for source in packages/pollenglade-core/src packages/pollenglade-net/src \
    packages/pollenglade-node/src platform/src; do
    cp -R "$source"/. target/deps/
done
# The processes cannot write there; without this each start compiles every module anew.
python3 -m compileall -q --invalidation-mode unchecked-hash target/deps/pollenglade_*
