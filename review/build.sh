#!/bin/sh
# Builds what the scripts start besides the deploy file's program. The stand-ins
# are plain JavaScript modules without dependencies, so this only parses them.
set -eu
cd "$(dirname "$0")"
for file in standins/*.mjs [1-5]/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
