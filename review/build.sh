#!/bin/sh
# Prepares the stand-ins of the cases. They are Python programs without
# dependencies of their own; the project's stand-in of the store runs with the
# libraries that the build of the deploy file puts under target/deps.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps
PYTHONPATH="target/deps:." python3 - <<'END'
import ast
import pathlib

import curio
import h11

for file in pathlib.Path('review').glob('*/*.py'):
    ast.parse(file.read_text(), str(file))
END
PYTHONPATH="target/deps:." python3 -c 'import standins.table_store'
