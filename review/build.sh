#!/bin/sh
# The stand-ins are plain modules for Node.js; there is nothing to compile.
cd "$(dirname "$0")" || exit 2
for file in lib/*.mjs [0-9]/*.mjs; do
  node --check "$file" || exit 1
done
