"""The daemon, with a part of its exchanges with other daemons lost: ``FERRYDOCK_BENCH_LOSS``."""

import os
import random
import sys

from ferrydock.daemon import main
from ferrydock.membership import ExchangeClient
from ferrydock.outcomes import Unavailable

LOSS = float(os.environ.get("FERRYDOCK_BENCH_LOSS", "0"))
_source = random.Random(os.getpid())
_call = ExchangeClient._call


async def lossy_call(self, address, method, request, reply_type, timeout_s):
    """Lose the question or the answer, each with half the probability."""
    lost = _source.random()
    if lost < LOSS / 2:
        return Unavailable("lost")
    reply = await _call(self, address, method, request, reply_type, timeout_s)
    return Unavailable("lost") if lost < LOSS else reply


if __name__ == "__main__":
    ExchangeClient._call = lossy_call
    sys.exit(main())
