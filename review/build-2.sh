#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with the project's own stand-ins, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cases=(addedRoute brittleRoll lateEntry lostQuarantine refusedStream sharedPart slowReaders)
for name in "${cases[@]}"; do
  npx --no-install esbuild "review/second/$name.ts" --bundle --platform=node --target=node20 \
    --format=cjs --conditions=source --outfile="target/review-2/$name.cjs" --log-level=warning
done
