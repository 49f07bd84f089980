#!/usr/bin/env bash
# Generates C++ code from the schemas in Schemas/ and writes the code to Generated/schemas/.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -f Generated/schemas/*.capnp.*
capnp compile --src-prefix=Schemas -oc++:Generated/schemas Schemas/*.capnp
