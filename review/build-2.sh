#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/6 review/7 review/8 review/9 review/10; do
  [ -f "$case/case.cc" ] || continue
  g++ -std=c++20 -O2 -Wall -Wextra -pthread review/stand_ins-2/*.cc "$case/case.cc" \
    -o "target/review-2/case-$(basename "$case")"
done
