# Checks beyond the tests, used by CI.

check_generated_code() { # Generated/ is what the schemas give.
  Meta/cicadadrum.sh generate
  git diff --exit-code -- Generated
}

check_capacity() { # The figures of docs/CAPACITY.md are what its inputs give.
  Meta/capacity.sh --check
}

check_sanitizers() { # Warnings as errors, and the whole suite under sanitizers.
  local folder=$PWD/Build/sanitize
  cmake -S . -B "$folder" -G Ninja -DCICADADRUM_SANITIZE=ON -DCICADADRUM_WARNINGS_AS_ERRORS=ON >/dev/null
  cmake --build "$folder"
  ctest --test-dir "$folder" --output-on-failure -j 4
}

check_embedder() { # The installed library works from another CMake project.
  [ -d Examples/Embedder ] || return 0
  local prefix=$PWD/Build/prefix
  cmake --install Build/default --prefix "$prefix" >/dev/null
  cmake -S Examples/Embedder -B Build/embedder -G Ninja -DCMAKE_PREFIX_PATH="$prefix" >/dev/null
  cmake --build Build/embedder
  Build/embedder/embedder
}
