#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review in build-review-2/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/{6,7,8,9,10}/*.cc; do
  [ -e "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build-review-2/$(basename "$source" .cc)" "$source"
done
