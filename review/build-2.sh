#!/bin/sh
# The stand-ins of these cases are plain programs for Node.js; there is nothing to compile. This checks that they can be read, and that
# the program of the deploy file has been built.
cd "$(dirname "$0")/.." || exit 1
for file in review/stand-ins-2/*.mjs review/4/case.mjs review/5/case.mjs review/6/case.mjs; do
  node --check "$file" || exit 1
done
test -s target/woodbarrow-serving.cjs && test -s target/woodbarrow-daemon.cjs
