"""``ferrydockd``: the daemon of one entry box."""

import asyncio
import logging
import os
import signal
import sys

import aiomisc
import uvloop
from absl import flags

from . import __version__, logs
from .clock import SystemClock
from .environment import apply_environment
from .logs import log_event
from .node import (
    Node,
    Platform,
    Settings,
    define_flags,
    embedded_platform,
    read_settings,
)
from .outcomes import Invalid
from .store import EtcdStore, HttpBoxList, HttpWeightStore, StaticWeightStore

__all__ = ["NodeService", "main"]

_LOG = logging.getLogger("ferrydock.daemon")
UNKNOWN_RATE_BYTES_PER_S = 1e9
EXIT_BROKEN = 1
EXIT_BAD_SETTING = 2


class NodeService(aiomisc.Service):
    """Runs a `Node` under aiomisc's entry point.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    """

    settings: Settings
    node: Node

    async def start(self) -> None:
        clock = SystemClock()
        if self.settings.embedded:
            platform = await embedded_platform(self.settings.hall, clock, self.settings.seed)
        else:
            platform = _platform(self.settings)
        self.node = Node(self.settings, platform, clock)
        await self.node.start()

    async def stop(self, exception: Exception | None = None) -> None:
        return None


def _platform(settings: Settings) -> Platform:
    weight_store = StaticWeightStore(UNKNOWN_RATE_BYTES_PER_S)
    if settings.weight_store_url:
        weight_store = HttpWeightStore(settings.weight_store_url)
    return Platform(
        EtcdStore(settings.store_urls), HttpBoxList(settings.box_list_url), weight_store
    )


async def _run_until_stopped(service: NodeService) -> int:
    """Wait for a signal, then stop as planned; a second signal changes nothing.

    A broken invariant ends the process at once. Returns the exit status.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    failed = service.node.rounds.failed
    waits = [asyncio.ensure_future(event.wait()) for event in (stop, failed)]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
    if failed.is_set():
        await service.node.close()
        return EXIT_BROKEN
    await service.node.stop()
    return 0


def _fail(problem: str) -> int:
    print(f"ferrydockd: {problem}", file=sys.stderr)
    return EXIT_BAD_SETTING


def parse_settings(argv: list[str], environment) -> Settings | Invalid | str:
    """Return the settings from a command line and an environment, or what is wrong."""
    values = flags.FLAGS
    try:
        rest = values(argv)
    except flags.Error as error:
        return str(error).splitlines()[0]
    if len(rest) > 1:
        return f"{rest[1]!r} is not a flag; flags begin with --"
    wrong = apply_environment(values, environment)
    if wrong is not None:
        return wrong
    return read_settings(values)


def main(argv: list[str] | None = None) -> int:
    """Run the daemon; return the exit status."""
    arguments = list(sys.argv if argv is None else argv)
    define_flags()
    if "--version" in arguments:
        print(f"ferrydockd {__version__}")
        return 0
    if "--help" in arguments:
        print(flags.FLAGS.main_module_help() or flags.FLAGS.get_help())
        return 0
    settings = parse_settings(arguments, os.environ)
    if isinstance(settings, str):
        return _fail(settings)
    if isinstance(settings, Invalid):
        return _fail(settings.reason)
    logs.configure(settings.log_level)
    if flags.FLAGS.check_settings:
        print("ferrydockd: the settings are good")
        return 0
    service = NodeService(settings=settings)
    with aiomisc.entrypoint(
        service, log_config=False, pool_size=2, loop_factory=uvloop.new_event_loop
    ) as loop:
        status = loop.run_until_complete(_run_until_stopped(service))
    log_event(_LOG, logging.INFO, "exit", status=status)
    return status


if __name__ == "__main__":
    sys.exit(main())
