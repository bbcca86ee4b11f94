#!/usr/bin/env bash
# Builds the stand-ins of review/stand_ins_2 below target/review_2. Needs a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review_2
mkdir -p "$out"
parts=()
programs=()
pids=()
for file in review/stand_ins_2/*.cpp review/stand_ins_2/*.cc; do
    name=$(basename "${file%.*}")
    case $file in
    *.cpp) parts+=("$out/$name.o") ;;
    *) programs+=("$name") ;;
    esac
    "${CXX:-c++}" -std=c++20 -O1 -pthread -Wall -Wextra -c "$file" -o "$out/$name.o" &
    pids+=("$!")
done
for pid in "${pids[@]}"; do wait "$pid"; done
for name in "${programs[@]}"; do
    "${CXX:-c++}" -pthread "$out/$name.o" "${parts[@]}" -o "$out/$name"
done
