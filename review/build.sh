#!/bin/sh
# Builds the stand-ins that the scripts start: the project's own (store, workers and operator of
# ferrydock/standins/fleet) and the small ones of harness.py. All are Python and run in the process
# of the script, from the libraries that the build of deploy/system.toml puts under target/deps.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import importlib
import sys

sys.path.insert(0, "review")
for name in ("ferrydock.standins.fleet", "harness"):
    importlib.import_module(name)
print("the stand-ins can be started")
PY
