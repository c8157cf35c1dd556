#!/bin/sh
# Builds the project's own stand-ins into dist/. The stand-ins in review/ are run as they are.
set -e
cd "$(dirname "$0")/.."
npm run build
