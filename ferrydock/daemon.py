"""The command line of ``ferrydockd``, the daemon that serves by the operators' table.

Owns no state; flags are read from the command line and from ``FERRYDOCK_...`` variables.
"""

import logging
import os
import sys

import aiomisc
from absl import flags

from . import logs
from .clock import SystemClock
from .logs import log_event
from .node import (
    Node,
    PlatformClients,
    Settings,
    define_flags,
    embedded_platform,
    read_settings,
)
from .outcomes import Invalid
from .startup import (
    DaemonSignals,
    informational_text,
    parse_flags,
    refuse_to_start,
    run_service,
    run_until_stopped,
)
from .store import EtcdStore, HttpBoxList, HttpWeightStore, StaticWeightStore, WeightStore

__all__ = ["NodeService", "main"]

_LOG = logging.getLogger("ferrydock.daemon")

# Rate assumed of a weight store without an address at which its rate can be queried.
ASSUMED_RATE_BYTES_PER_S = 1e9


class NodeService(aiomisc.Service):
    """Runs a `Node` under aiomisc's entry point.

    Parameters
    ----------
    settings : Settings
        Settings that `node.read_settings` has checked.
    """

    settings: Settings
    node: Node

    async def start(self) -> None:
        """Create the node and start it; called by aiomisc."""
        clock = SystemClock()
        if self.settings.embedded:
            platform: PlatformClients = await embedded_platform(
                self.settings.hall, clock, self.settings.seed
            )
        else:
            platform = _platform(self.settings)
        self.node = Node(self.settings, platform, clock)
        await self.node.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Do nothing: `run_until_stopped` has already stopped the node."""

    async def run(self, signals: DaemonSignals) -> int:
        """Serve until a signal stops the daemon; return the exit status."""
        node = self.node
        return await run_until_stopped(
            signals, node.loops.failed, node.stop, node.close, _log_ignored_hangup
        )


def _log_ignored_hangup() -> None:
    """Log a SIGHUP and ignore it: the settings are flags, and changes of the table are watched."""
    log_event(_LOG, logging.INFO, "hangup_passed_over")


def _platform(settings: Settings) -> PlatformClients:
    weight_store: WeightStore = StaticWeightStore(ASSUMED_RATE_BYTES_PER_S)
    if settings.weight_store_url:
        weight_store = HttpWeightStore(settings.weight_store_url)
    return PlatformClients(
        EtcdStore(settings.store_urls), HttpBoxList(settings.box_list_url), weight_store
    )


def _help_text() -> str:
    return flags.FLAGS.main_module_help() or flags.FLAGS.get_help()


def main(argv: list[str] | None = None) -> int:
    """Run the daemon and exit; return the exit status if it does not start."""
    arguments = list(sys.argv if argv is None else argv)
    define_flags()
    text = informational_text(arguments, _help_text)
    if text:
        print(text)
        return 0
    problem = parse_flags(flags.FLAGS, arguments, os.environ)
    if problem:
        return refuse_to_start(problem)
    settings = read_settings(flags.FLAGS)
    if isinstance(settings, Invalid):
        return refuse_to_start(settings.reason)
    logs.configure(settings.log_level)
    if flags.FLAGS.check_settings:
        print("ferrydockd: the settings are good")
        return 0
    service = NodeService(settings=settings)
    run_service(service, service.run)


if __name__ == "__main__":
    sys.exit(main())
