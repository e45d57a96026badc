"""The daemon that serves routes: its settings, the deployment around it, its composition."""

from ._daemon import EntryNode
from ._deployment import Deployment, deployment_kinds, open_deployment, register_deployment
from ._settings import EntrySettings, check_settings

__all__ = [
    "Deployment",
    "EntryNode",
    "EntrySettings",
    "check_settings",
    "deployment_kinds",
    "open_deployment",
    "register_deployment",
]
