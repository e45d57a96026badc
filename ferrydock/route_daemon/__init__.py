"""The daemon that serves routes: its settings, the deployment around it, its composition."""

from ._daemon import RouteDaemon
from ._deployment import Deployment, deployment_kinds, open_deployment, register_deployment
from ._settings import RouteDaemonSettings, check_settings

__all__ = [
    "Deployment",
    "RouteDaemon",
    "RouteDaemonSettings",
    "check_settings",
    "deployment_kinds",
    "open_deployment",
    "register_deployment",
]
