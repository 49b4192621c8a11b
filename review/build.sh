#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -Werror -Wno-missing-field-initializers -pthread review/stand_ins.cc review/cases.cc \
  -o target/review/cases
