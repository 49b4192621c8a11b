#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -Wall -Wextra -Werror -Wno-missing-field-initializers -pthread stand_ins.cc cases.cc -o bin/cases
