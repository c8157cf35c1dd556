#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. To be run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -p tsconfig.json
