"""The daemon with lost calls to other daemons, in the ratio ``FERRYDOCK_BENCH_LOSS``."""

import os
import random
import sys

from ferrydock.daemon import main
from ferrydock.membership import ExchangeClient
from ferrydock.outcomes import Unavailable

LOSS_RATIO = float(os.environ.get("FERRYDOCK_BENCH_LOSS", "0"))
_source = random.Random(os.getpid())
_call = ExchangeClient._call


async def call_with_losses(self, address, method, request, reply_type, timeout_s):
    """Call another daemon; lose the request or the reply, each in half of the losses."""
    draw = _source.random()
    if draw < LOSS_RATIO / 2:
        return Unavailable("lost")
    reply = await _call(self, address, method, request, reply_type, timeout_s)
    return Unavailable("lost") if draw < LOSS_RATIO else reply


if __name__ == "__main__":
    ExchangeClient._call = call_with_losses
    sys.exit(main())
