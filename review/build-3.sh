#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15, with the project's own stand-ins, into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
build() {
  npx --no-install esbuild "review/third/$1.ts" --bundle --platform=node --target=node20 \
    --format=cjs --conditions=source --outfile="target/review-3/$1.cjs" --log-level=warning
}
cases=(stoppedStream halfBooking slowBooking cutStream withdrawnKey lateBeat)
for name in "${cases[@]}"; do
  build "$name"
done
