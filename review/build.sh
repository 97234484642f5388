#!/usr/bin/env bash
# Builds the drivers of the cases, with all their stand-ins, into target/review/.
set -eu
cd "$(dirname "$0")/.."
npx --no-install esbuild review/drivers/*.ts --bundle --platform=node --target=node20 --format=cjs \
  --conditions=source --outdir=target/review --out-extension:.js=.cjs --log-level=warning
