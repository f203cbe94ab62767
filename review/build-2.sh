#!/bin/sh
# The stand-ins of the second review are plain Node.js modules: nothing is
# compiled, only their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in standins-2/*.mjs [0-9]*/case.mjs; do node --check "$file"; done
