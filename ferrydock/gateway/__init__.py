"""HTTP interface of ferrydockd for callers and operators.

Each kind of route has a module: models, plain services, routes of the operators' table (served by
`ferrydock.forwarding`) and operators; `_app` listens. Elsewhere are: running model requests
(`ferrydock.requests`), team limits (`ferrydock.teams`) and the table (`ferrydock.table`).
"""

from ._app import Gateway
from ._callers import Authenticator
from ._errors import error_response, not_run_response
from ._lasting_work import BackgroundTasks
from ._models import ModelRoutes
from ._operators import OperatorRoutes
from ._route_dialect import FerrydockDialect
from ._routes import TableRoutes, configuration_of, targets_of
from ._services import ServiceRoutes
from ._spill import RemoteHallForwarder

__all__ = [
    "FerrydockDialect",
    "TableRoutes",
    "configuration_of",
    "targets_of",
    "Authenticator",
    "Gateway",
    "BackgroundTasks",
    "ModelRoutes",
    "OperatorRoutes",
    "ServiceRoutes",
    "RemoteHallForwarder",
    "error_response",
    "not_run_response",
]
