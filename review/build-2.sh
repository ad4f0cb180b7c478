#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. They are plain JavaScript on Node.js without dependencies,
# so that nothing has to be compiled: each file is checked to parse.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/stand-ins-[23]/*.js review/[4-8]/case.js; do
  node --check "$file"
done
# One of them is a Perl program; the cases 4 and 5, which need it, exit with 2 without Perl.
if command -v perl >/dev/null; then
  perl -c review/stand-ins-2/slow-link.pl
fi
