"""HTTP towards callers and operators."""

from ._app import Gateway
from ._callers import Callers
from ._errors import error_response, not_run_response
from ._models import ModelRoutes
from ._operators import OperatorRoutes
from ._services import ServiceRoutes
from ._spill import Spill

__all__ = [
    "Callers",
    "Gateway",
    "ModelRoutes",
    "OperatorRoutes",
    "ServiceRoutes",
    "Spill",
    "error_response",
    "not_run_response",
]
