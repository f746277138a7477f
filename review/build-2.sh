#!/usr/bin/env bash
# Builds the stand-ins of the scripts of review/6 to review/10 into target/review-2, with the compiler of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/standins-2/StandIns.cpp -o target/review-2/StandIns.o
for source in review/*/Case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" target/review-2/StandIns.o -o "target/review-2/case-$number"
done
