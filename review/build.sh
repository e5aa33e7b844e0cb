#!/usr/bin/env bash
# Bundles the script of each case, with the stand-ins that it starts, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/[1-5]/case.ts; do
  name=$(basename "$(dirname "$file")")
  node_modules/.bin/esbuild "$file" --bundle --platform=node --target=node20 --format=esm --log-level=warning --outfile="target/review/case-$name.mjs"
done
