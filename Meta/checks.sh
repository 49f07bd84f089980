# Functions for the checks that CI runs in addition to the tests.

check_generated_code() { # Fails if Generated/ differs from the code generated from the schemas.
  Meta/cicadadrum.sh generate
  git diff --exit-code -- Generated
}

check_capacity() { # Fails if docs/CAPACITY.md differs from the figures computed from its inputs.
  Meta/capacity.sh --check
}

check_sanitizers() { # Builds with warnings as errors and runs all tests under sanitizers.
  local folder=$PWD/Build/sanitize
  cmake -S . -B "$folder" -G Ninja -DCICADADRUM_SANITIZE=ON -DCICADADRUM_WARNINGS_AS_ERRORS=ON >/dev/null
  cmake --build "$folder"
  Meta/known_red.sh list "$folder"
  ctest --test-dir "$folder" --output-on-failure -j 4 -E "$(Meta/known_red.sh ctest_filter)"
}

check_embedder() { # Builds and runs a separate CMake project against the installed library.
  [ -d Examples/Embedder ] || return 0
  local prefix=$PWD/Build/prefix
  cmake --install Build/default --prefix "$prefix" >/dev/null
  cmake -S Examples/Embedder -B Build/embedder -G Ninja -DCMAKE_PREFIX_PATH="$prefix" >/dev/null
  cmake --build Build/embedder
  Build/embedder/embedder
}
