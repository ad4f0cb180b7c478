#!/bin/sh
# The stand-ins are plain JavaScript on Node.js alone, so there is nothing to compile; this checks
# that they can be read.
set -e
cd "$(dirname "$0")"
for file in stand-ins/*.js ./[0-9]/play.js; do
  node --check "$file"
done
