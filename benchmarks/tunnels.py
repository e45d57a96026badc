"""Processor time of a daemon that forwards events of streams through tunnels.

``python -m benchmarks.tunnels`` lets one process play the target, the forwarding daemon and the
daemon without links, and prints the processor time for one event of a stream, directly and through
a tunnel. The difference is what the forwarding daemon and the framing add.
"""

import asyncio
import random
import sys
import time

import uvloop
from absl import flags

from ferrydock.clock import SystemClock
from ferrydock.links import PeerTunnels, TargetDialer, TargetLinks, TunnelPeers, TunnelServer
from ferrydock.logs import format_event

EVENT = b"id: 17\ndata: " + b"x" * 120 + b"\n\n"
STREAMS = 20


class _AllTargets:
    def is_listed(self, address: str) -> bool:
        return True

    def is_backed_off(self, address: str) -> bool:
        return False

    def note_backoff(self, address: str, backoff_s: float) -> None:
        pass


async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send as many events as were asked for, each in a turn of its own."""
    count = int(await reader.readline())
    for _ in range(count):
        writer.write(EVENT)
        await asyncio.sleep(0)
    writer.close()


async def _read(dialer: TargetDialer, address: str, count: int) -> None:
    dialed = await dialer.connect(address, 1.0)
    reader, writer = await asyncio.open_connection(sock=dialed.opened)
    writer.write(b"%d\n" % count)
    while await reader.read(65536):
        pass
    writer.close()


async def _processor_s(dialer: TargetDialer, address: str, events: int) -> float:
    """Return the processor time for all events of all streams."""
    began_s = time.process_time()
    await asyncio.gather(*(_read(dialer, address, events) for _ in range(STREAMS)))
    return time.process_time() - began_s


async def main() -> int:
    """Measure both ways; return the exit status."""
    events = 200 if flags.FLAGS.quick else 5000
    target = await asyncio.start_server(_serve, "127.0.0.1", 0)
    address = "{}:{}".format(*target.sockets[0].getsockname())
    clock, rng = SystemClock(), random.Random(1)
    links = TargetLinks(lambda: [address], clock, rng)
    server = TunnelServer(links, _AllTargets(), lambda: False, clock)
    peers = TunnelPeers("a", "", rng)
    peers.note_caller("a", await server.start("127.0.0.1:0"), clock.now_s())
    lost = TargetLinks(lambda: [address], clock, rng)
    lost.is_lost = True
    direct_s = await _processor_s(TargetDialer(), address, events)
    through_s = await _processor_s(TargetDialer(lost, PeerTunnels(peers, clock)), address, events)
    count = STREAMS * events
    print(
        format_event(
            "tunnels",
            events=count,
            direct_us=direct_s / count * 1e6,
            through_us=through_s / count * 1e6,
            added_us=(through_s - direct_s) / count * 1e6,
        )
    )
    await server.close()
    target.close()
    return 0


if __name__ == "__main__":
    flags.DEFINE_bool("quick", False, "Few events.")
    flags.FLAGS(sys.argv)
    uvloop.install()
    sys.exit(asyncio.run(main()))
