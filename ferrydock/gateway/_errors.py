"""Error responses of the daemon, in the JSON format that OpenAI clients read; stateless.

Each states whether the request ran, if that is known, and whether to send it again.
"""

import math

import orjson
from aiohttp import web

from ..outcomes import Invalid, NotRun, Run
from ..planned_stop import STOPPING_REASON, STOPPING_RETRY_S
from ..requests import Failed

__all__ = [
    "error_body",
    "error_response",
    "lost_answer_response",
    "invalid_response",
    "not_run_response",
    "stopping_response",
]

STOPPING_MESSAGE = "this daemon stops"

# OpenAI error types by HTTP status; other statuses are server errors.
TOO_MANY_REQUESTS = 429
_ERROR_TYPES = {400: "invalid_request_error", 401: "authentication_error", 403: "permission_error"}


def error_body(code: str, message: str, run: Run, retry: bool, status: int = 500, **extra) -> dict:
    """Return the ``error`` object of a response.

    Parameters
    ----------
    code : str
        Error code for programs, in snake case.
    message : str
        Explanation for people.
    run : Run
        Whether the request ran; `Run.UNKNOWN` if it may have.
    retry : bool
        Whether the caller may send the request again.
    status : int
        HTTP status, from which the error type follows.
    """
    error_type = _ERROR_TYPES.get(
        status, "rate_limit_error" if status == TOO_MANY_REQUESTS else "server_error"
    )
    return {
        "message": message,
        "type": error_type,
        "code": code,
        "run": run.value,
        "retry": retry,
        **extra,
    }


def error_response(
    status: int,
    code: str,
    message: str,
    run: Run = Run.NOT_RUN,
    retry: bool = False,
    retry_after_s: float | None = None,
    **extra,
) -> web.Response:
    """Return a response with an ``error`` object."""
    headers = {}
    if retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(retry_after_s)))
        retry = True
    fields = error_body(code, message, run, retry, status, **extra)
    return web.Response(
        body=orjson.dumps({"error": fields}),
        status=status,
        headers=headers,
        content_type="application/json",
    )


def not_run_response(outcome: NotRun) -> web.Response:
    """Return the response to a request that did not run."""
    if outcome.reason == STOPPING_REASON:
        return stopping_response()
    message = outcome.message or outcome.reason.replace("_", " ")
    return error_response(
        outcome.status, outcome.reason, message, Run.NOT_RUN, retry_after_s=outcome.retry_after_s
    )


def stopping_response() -> web.Response:
    """Return the response to a request that did not run because this daemon is stopping.

    The caller may retry at once: its next connection leads to another daemon.
    """
    response = error_response(503, STOPPING_REASON, STOPPING_MESSAGE, Run.NOT_RUN, retry=True)
    response.headers["Retry-After"] = f"{STOPPING_RETRY_S:.3g}"
    response.force_close()
    return response


def lost_answer_response(outcome: Failed, repeatable: bool) -> web.Response:
    """Return the response to a request that may have run but whose answer is lost."""
    if outcome.reason == STOPPING_REASON:
        return error_response(502, STOPPING_REASON, STOPPING_MESSAGE, outcome.run, retry=repeatable)
    return error_response(502, "lost_contact", outcome.reason, outcome.run, retry=repeatable)


def invalid_response(outcome: Invalid) -> web.Response:
    """Return the response to invalid input, with every fault."""
    faults = [{"place": f.place, "problem": f.problem} for f in outcome.faults]
    return error_response(400, "invalid", outcome.reason, faults=faults)
