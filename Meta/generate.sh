#!/usr/bin/env bash
# Generates the C++ code of Schemas/ into Generated/.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -f Generated/schemas/*.capnp.*
capnp compile --src-prefix=Schemas -oc++:Generated/schemas Schemas/*.capnp
