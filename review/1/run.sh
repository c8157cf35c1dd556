#!/bin/sh
cd "$(dirname "$0")/../.." && exec node review/1/case.mjs
