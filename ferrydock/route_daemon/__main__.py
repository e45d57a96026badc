"""``ferrydockd`` as the daemon that serves routes in a deployment of a registered kind."""

import asyncio
import gc
import logging
import os
import signal
import sys

import aiomisc
import uvloop
from absl import flags

from .. import __version__, logs
from .. import platform as _platform  # noqa: F401  fills the registry of deployments
from ..clock import SystemClock
from ..environment import apply_environment
from ..logs import log_event
from ..outcomes import Invalid
from . import Deployment, RouteDaemon, deployment_kinds, open_deployment

__all__ = ["RouteService", "main"]

_LOG = logging.getLogger("ferrydock.daemon")
EXIT_BROKEN = 1
EXIT_BAD_SETTING = 2
_LEVELS = ("debug", "info", "warning", "error")


class RouteService(aiomisc.Service):
    """Runs an `RouteDaemon` under aiomisc's entry point.

    Parameters
    ----------
    deployment : Deployment
        The world around.
    """

    deployment: Deployment
    node: RouteDaemon

    async def start(self) -> None:
        self.node = RouteDaemon(self.deployment, SystemClock())
        await self.node.start()

    async def stop(self, exception: Exception | None = None) -> None:
        return None


def _define_flags(values: flags.FlagValues) -> None:
    kinds = deployment_kinds()
    flags.DEFINE_enum("deployment", kinds[0], kinds, "Kind of deployment.", flag_values=values)
    flags.DEFINE_string("settings", "", "Path of the settings file.", flag_values=values)
    flags.DEFINE_enum("log_level", "info", _LEVELS, "Least level logged.", flag_values=values)
    flags.DEFINE_bool("check_settings", False, "Check the settings, exit.", flag_values=values)


def _fail(problem: str) -> int:
    print(f"ferrydockd: {problem}", file=sys.stderr)
    return EXIT_BAD_SETTING


async def _run_until_stopped(node: RouteDaemon) -> int:
    """Wait for a signal, then stop as planned; a broken invariant ends the process at once."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, node.reread_settings)
    waits = [asyncio.ensure_future(event.wait()) for event in (stop, node.failed)]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()
    if node.failed.is_set():
        await node.close()
        return EXIT_BROKEN
    await node.stop()
    return 0


def main(argv: list[str] | None = None) -> int:
    """Run the daemon; return the exit status."""
    arguments = list(sys.argv if argv is None else argv)
    values = flags.FlagValues()
    _define_flags(values)
    if "--version" in arguments:
        print(f"ferrydockd {__version__}")
        return 0
    if "--help" in arguments:
        print(values.get_help())
        return 0
    try:
        rest = values(arguments)
    except flags.Error as error:
        return _fail(str(error).splitlines()[0])
    if len(rest) > 1:
        return _fail(f"{rest[1]!r} is not a flag; flags begin with --")
    wrong = apply_environment(values, os.environ)
    if wrong is not None:
        return _fail(wrong.reason)
    if not values["settings"].value:
        return _fail("--settings: '' is not allowed; allowed: the path of a file")
    deployment = open_deployment(values["deployment"].value, values["settings"].value)
    if isinstance(deployment, Invalid):
        return _fail(deployment.reason)
    if values["check_settings"].value:
        print("ferrydockd: the settings are good")
        return 0
    logs.configure(values["log_level"].value, sys.stdout)
    return _serve(deployment)


def _serve(deployment: Deployment) -> int:
    service = RouteService(deployment=deployment)
    gc.freeze()
    try:
        with aiomisc.entrypoint(
            service, log_config=False, pool_size=2, loop_factory=uvloop.new_event_loop
        ) as loop:
            status = loop.run_until_complete(_run_until_stopped(service.node))
    except OSError as error:
        log_event(_LOG, logging.CRITICAL, "cannot_listen", why=error)
        return EXIT_BROKEN
    log_event(_LOG, logging.INFO, "exit", status=status)
    return status


if __name__ == "__main__":
    sys.exit(main())
