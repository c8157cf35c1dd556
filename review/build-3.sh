#!/usr/bin/env bash
# The stand-ins of the third review are plain modules under review/lib-3. Nothing is compiled; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
