#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15 into target/review-3. They need a C++20 compiler and no library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
objects=()
for name in net store server world; do
  g++ -std=c++20 -O1 -pthread -c "review/stand_ins-3/$name.cc" -o "target/review-3/$name.o"
  objects+=("target/review-3/$name.o")
done
for source in review/stand_ins-3/case_*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -pthread "$source" "${objects[@]}" -o "target/review-3/$name"
done
