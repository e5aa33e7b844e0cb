#!/usr/bin/env bash
# Bundles the scripts of the second review with their stand-ins; to be run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for number in 6 7 8 9 10; do
  file="review/$number/case.ts"
  if [ ! -f "$file" ]; then continue; fi
  node_modules/.bin/esbuild "$file" --bundle --platform=node --target=node20 --format=esm --log-level=warning --outfile="target/review-2/case-$number.mjs"
done
