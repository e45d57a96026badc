"""``python -m ferrydock.standins``: runs the stand-ins of platform and targets as a process."""

import asyncio
import logging
import signal
import sys

import uvloop
from absl import app, flags

from ..logs import configure, log_event
from ._engine import EngineProfile
from ._site import SiteSize, StandInSite

LISTEN = flags.DEFINE_string("listen", "127.0.0.1:7400", "IP:PORT; port 0 takes a free one.")
HALLS = flags.DEFINE_list("halls", ["hall-a"], "Names of the halls.")
DOMAINS = flags.DEFINE_integer("domains_per_hall", 3, "Fabric domains of each hall.", 1, 100)
BOXES = flags.DEFINE_integer("boxes_per_domain", 5, "Boxes of each fabric domain.", 1, 1000)
WEIGHT_RATE = flags.DEFINE_float("weight_rate_bytes_per_s", 1e9, "Rate of the weight store.", 1)
STEP = flags.DEFINE_float("step_s", 0.01, "Time of one batch step of an engine.", 0)
LAG = flags.DEFINE_float("box_list_lag_s", 0.0, "Age of what the box list shows.", 0)


async def _serve() -> None:
    host, port = LISTEN.value.rsplit(":", 1)
    size = SiteSize(
        halls=tuple(HALLS.value),
        domains_per_hall=DOMAINS.value,
        boxes_per_domain=BOXES.value,
        weight_rate_bytes_per_s=WEIGHT_RATE.value,
        box_list_lag_s=LAG.value,
    )
    site = await StandInSite(size, EngineProfile(step_s=STEP.value)).start(host, int(port))
    log_event(logging.getLogger("ferrydock.standins"), logging.INFO, "ready", listen=site.url[7:])
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    await stop.wait()
    await site.close()


def main(argv) -> int:
    """Serve until SIGTERM or SIGINT; return the exit status."""
    configure("info")
    uvloop.run(_serve())
    return 0


if __name__ == "__main__":
    sys.exit(app.run(main))
