#!/usr/bin/env bash
# Builds, runs, tests and benchmarks cicadadrum. Every command except platform installs missing packages.
# Usage: Meta/cicadadrum.sh build|test|run|bench|reaction|transfers|lint|generate|platform|soak
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
build=${CICADADRUM_BUILD_DIR:-$root/Build/default}
export CCACHE_BASEDIR=$root CCACHE_NOHASHDIR=1

install_packages() { # $@: package names
  local missing=()
  for package in "$@"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
  done
  [ ${#missing[@]} -eq 0 ] && return
  local sudo=
  [ "$(id -u)" -eq 0 ] || sudo=sudo
  $sudo apt-get update -qq
  DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq "${missing[@]}" >/dev/null
}

build() { # $1: build folder, $2...: CMake options
  local folder=$1
  shift
  mapfile -t packages < Meta/packages.txt
  install_packages "${packages[@]}"
  cmake -S . -B "$folder" -G Ninja "$@" >/dev/null
  cmake --build "$folder"
}

run_tests() { # $1: build folder
  Meta/known_red.sh list "$1"
  ctest --test-dir "$1" --output-on-failure -j 4 -E "$(Meta/known_red.sh ctest_filter)"
}

lint() {
  install_packages clang-format clang-tidy
  git ls-files '*.cc' '*.h' | grep -v '^Generated/' | xargs clang-format --dry-run -Werror
  cmake -S . -B "$build" -G Ninja >/dev/null
  # The cached result for a file stays valid until the file, any header or the clang-tidy rules change.
  local cache=${XDG_CACHE_HOME:-$HOME/.cache}/cicadadrum-tidy
  mkdir -p "$cache"
  local headers
  headers=$(git ls-files '*.h' .clang-tidy | xargs cat | sha256sum)
  git ls-files '*.cc' | xargs -P 8 -I{} Meta/tidy_file.sh {} "$build" "$cache" "$headers"
}

play_platform() { # $1: site file, $2: day
  local bench=$root/../given/kit/more/system/more/bench-d17393/bin/fleetbench
  if [ ! -x "$bench" ]; then
    echo "the users' bench is not beside the repository; the tests play the path without it" >&2
    return 2
  fi
  "$bench" run "$1" "${2:-quiet-1}" --why "played by hand"
}

run_soak() { # $1: first seed, $2: last seed, $3...: options of cicadadrum-soak
  local seed failed=0
  for seed in $(seq "${1:-1}" "${2:-${1:-1}}"); do
    "$build/Tests/Soak/cicadadrum-soak" --program "$build/platform/cicadadrum-platform" --seed "$seed" "${@:3}" || failed=1
  done
  return $failed
}

case "${1:-}" in
  build) build "$build" ;;
  test) build "$build" && run_tests "$build" ;;
  run) build "$build" && shift && Meta/demonstration.sh "$build" "$@" ;;
  reaction) build "$build" && shift && "$build/Utilities/ReactionBench/cicadadrum-reaction-bench" \
    --program "$build/platform/cicadadrum-platform" "$@" ;;
  transfers) build "$build" && shift && "$build/Utilities/TransferBench/cicadadrum-transfer-bench" \
    --program "$build/platform/cicadadrum-platform" "$@" ;;
  bench) build "$build" && shift && "$build/Utilities/Bench/cicadadrum-bench" "$@" ;;
  platform) shift && play_platform "$@" ;;
  soak) build "$build" && shift && run_soak "$@" ;;
  lint) lint ;;
  generate) install_packages capnproto && Meta/generate.sh ;;
  *) sed -n '2,3p' "$0"; exit 2 ;;
esac
