"""The route daemon: the program that runs on every entry box of the users' platform.

Start it with ``python -m ferrydock.route_daemon --settings=FILE``. This package composes a daemon
from the packages that do the work and holds what concerns the process as a whole: settings, the
interface to a deployment, leadership of halls, reading the store, periodic tasks, readiness and
shutdown. What does not belong here: serving requests (`ferrydock.forwarding`), choosing targets
(`ferrydock.scheduling`), forming replicas (`ferrydock.replicas`), anything specific to one platform
(`ferrydock.platform`). The other program, ``ferrydockd``, is `ferrydock.node`.
"""

from ._daemon import LISTEN_AFTER_NOT_READY_S, RouteDaemon
from ._deployment import Deployment, deployment_kinds, open_deployment, register_deployment
from ._settings import LiveSettings, RouteDaemonSettings, check_settings

__all__ = [
    "LISTEN_AFTER_NOT_READY_S",
    "Deployment",
    "LiveSettings",
    "RouteDaemon",
    "RouteDaemonSettings",
    "check_settings",
    "deployment_kinds",
    "open_deployment",
    "register_deployment",
]
