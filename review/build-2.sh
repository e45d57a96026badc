#!/bin/sh
# Compiles what the scripts of the second review start beside the daemons, and checks that it can be
# imported from what the build of the deploy file has made. Needs no network.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:.:review python3 -X pycache_prefix=target/pycache -m compileall -q \
    --invalidation-mode checked-hash ferrydock/standins review/stand2 || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.:review python3 -c "import stand2.crashing" || exit 2
echo "the stand-ins of the second review are built"
