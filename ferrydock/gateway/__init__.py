"""HTTP of the table's daemon towards callers and operators.

One module for each kind of route: models, plain services, routes of the table (through
`ferrydock.forwarding`), operators; `_app` listens. What does not belong here: running a model
request (`ferrydock.requests`), limits of teams (`ferrydock.teams`), the table (`ferrydock.table`).
"""

from ._app import Gateway
from ._callers import Callers
from ._errors import error_response, not_run_response
from ._lasting_work import LastingWork
from ._models import ModelRoutes
from ._operators import OperatorRoutes
from ._route_dialect import OwnDialect
from ._routes import TableRoutes, configuration_of, targets_of
from ._services import ServiceRoutes
from ._spill import Spill

__all__ = [
    "OwnDialect",
    "TableRoutes",
    "configuration_of",
    "targets_of",
    "Callers",
    "Gateway",
    "LastingWork",
    "ModelRoutes",
    "OperatorRoutes",
    "ServiceRoutes",
    "Spill",
    "error_response",
    "not_run_response",
]
