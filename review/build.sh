#!/bin/sh
# The stand-ins are plain JavaScript on Node.js alone, so there is nothing to compile: this checks that each can be read.
cd "$(dirname "$0")" || exit 1
for file in stand-ins/*.mjs */case.mjs; do
  node --check "$file" || exit 1
done
