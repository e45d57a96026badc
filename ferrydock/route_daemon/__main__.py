"""The command line of the route daemon: ``python -m ferrydock.route_daemon --settings=FILE``.

Owns no state; flags are read from the command line and from ``FERRYDOCK_...`` variables.
"""

import logging
import os
import sys

from absl import flags
from aiomisc import Service

from .. import IMPORTS_BEGAN_S, logs
from .. import platform as _platform  # noqa: F401  registers the users' platform as a deployment
from ..clock import SystemClock
from ..invariants import require
from ..logs import log_event
from ..outcomes import Invalid
from ..startup import (
    EXIT_STATUS_BROKEN,
    DaemonSignals,
    informational_text,
    parse_flags,
    refuse_to_start,
    run_service,
    run_until_stopped,
)
from ._daemon import RouteDaemon
from ._deployment import Deployment, deployment_kinds, open_deployment
from ._start_steps import StartSteps, process_age_s

__all__ = ["RouteService", "main"]

_LOG = logging.getLogger("ferrydock.route_daemon")
_LEVELS = ("debug", "info", "warning", "error")


class RouteService(Service):
    """Runs a `RouteDaemon` under aiomisc's entry point.

    Parameters
    ----------
    deployment : Deployment
        The store, configuration source and targets that the daemon uses.
    steps : StartSteps
        Has the steps of the start so far.
    """

    deployment: Deployment
    steps: StartSteps
    daemon: RouteDaemon

    async def start(self) -> None:
        """Create the daemon and start it; called by aiomisc."""
        self.daemon = RouteDaemon(self.deployment, SystemClock(), self.steps)
        await self.daemon.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Do nothing: `run_until_stopped` has already stopped the daemon."""

    async def run(self, signals: DaemonSignals) -> int:
        """Serve until a signal stops the daemon; return the exit status."""
        daemon = self.daemon

        async def stop() -> None:
            await daemon.stop(signals.since_stop_s())

        return await run_until_stopped(
            signals, daemon.failed, stop, daemon.close, daemon.reread_settings
        )


def _define_flags(values: flags.FlagValues) -> None:
    kinds = deployment_kinds()
    flags.DEFINE_enum("deployment", kinds[0], kinds, "Kind of deployment.", flag_values=values)
    flags.DEFINE_string("settings", "", "Path of the settings file.", flag_values=values)
    flags.DEFINE_enum("log_level", "info", _LEVELS, "Least level logged.", flag_values=values)
    flags.DEFINE_bool("check_settings", False, "Check the settings, exit.", flag_values=values)


def main(argv: list[str] | None = None) -> int:
    """Run the daemon and exit; return the exit status if it does not start."""
    steps = StartSteps(SystemClock(), process_age_s())
    steps.finish("interpreter", IMPORTS_BEGAN_S)
    steps.finish("imports")
    arguments = list(sys.argv if argv is None else argv)
    values = flags.FlagValues()
    _define_flags(values)
    text = informational_text(arguments, values.get_help)
    if text:
        print(text)
        return 0
    problem = parse_flags(values, arguments, os.environ)
    if problem:
        return refuse_to_start(problem)
    settings: str = values["settings"].value or ""
    if not settings:
        return refuse_to_start("--settings: '' is not allowed; allowed: the path of a file")
    deployment = open_deployment(require(values["deployment"].value, "--deployment"), settings)
    if isinstance(deployment, Invalid):
        return refuse_to_start(deployment.reason)
    if values["check_settings"].value:
        print("ferrydockd: the settings are good")
        return 0
    logs.configure(require(values["log_level"].value, "--log_level"), sys.stdout)
    steps.finish("settings")
    return _serve(deployment, steps)


def _serve(deployment: Deployment, steps: StartSteps) -> int:
    service = RouteService(deployment=deployment, steps=steps)
    try:
        run_service(service, service.run)
    except OSError as error:
        log_event(_LOG, logging.CRITICAL, "cannot_listen", why=error)
        return EXIT_STATUS_BROKEN


if __name__ == "__main__":
    sys.exit(main())
