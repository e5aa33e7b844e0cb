#!/bin/bash
# Bundles the cases of the third review, with their stand-ins, into target/review-3/. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
for folder in review/1[1-5]; do
  [ -e "$folder/case.ts" ] || continue
  node_modules/.bin/esbuild "$folder/case.ts" --bundle --platform=node --target=node20 --format=esm --log-level=warning --outfile="target/review-3/case-$(basename "$folder").mjs"
done
