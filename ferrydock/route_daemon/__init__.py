"""The route daemon: the program that runs on the users' platform, on every entry box.

Start it with ``python -m ferrydock.route_daemon --settings=FILE``. This package composes a daemon
from the packages that do the work and holds what concerns the process as a whole: settings, the
port to a deployment, leadership of halls, following the store, periodic work, readiness, stop.
What does not belong here: serving requests (`ferrydock.forwarding`), choosing targets
(`ferrydock.scheduling`), forming replicas (`ferrydock.replicas`), anything of one platform
(`ferrydock.platform`). The other program, ``ferrydockd``, is `ferrydock.node`.
"""

from ._daemon import LISTEN_AFTER_READY_S, RouteDaemon
from ._deployment import Deployment, deployment_kinds, open_deployment, register_deployment
from ._settings import LiveSettings, RouteDaemonSettings, check_settings

__all__ = [
    "LISTEN_AFTER_READY_S",
    "Deployment",
    "LiveSettings",
    "RouteDaemon",
    "RouteDaemonSettings",
    "check_settings",
    "deployment_kinds",
    "open_deployment",
    "register_deployment",
]
