#!/usr/bin/env bash
# Runs clang-tidy on one file unless clang-tidy has already passed for the same content of the file, headers and rules.
# Arguments: file, build folder, cache folder, hash of headers and rules.
set -euo pipefail
key=$( (echo "$4"; cat "$1") | sha256sum | cut -d' ' -f1)
[ -e "$3/$key" ] && exit 0
clang-tidy --quiet -p "$2" "$1" 2>/dev/null
touch "$3/$key"
