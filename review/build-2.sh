#!/bin/sh
# Builds the stand-ins of the second review. They are Python programs that use
# the standard library only, so that there is nothing to compile: this checks
# that they can be loaded.
cd "$(dirname "$0")" || exit 1
cache=$(mktemp -d) || exit 1
PYTHONPYCACHEPREFIX=$cache python3 -m py_compile rig.py [0-9]*/case.py
status=$?
rm -rf "$cache"
exit "$status"
