#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]/case.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -o "bin/case${source%%/*}" "$source"
done
