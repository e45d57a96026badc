"""Answers of the gateway's own."""

import orjson
from aiohttp import web

__all__ = ["refusal"]


def refusal(
    status: int, reason: str, retry_after_s: float | None, close: bool = False
) -> web.Response:
    """Return an answer that says why there is none of a target's.

    Parameters
    ----------
    status : int
        503 promises that the request did not run and will not.
    reason : str
        Snake-case word for programs.
    retry_after_s : float or None
        When it is worth to come back.
    close : bool
        Whether the connection ends with it.
    """
    headers = {"Retry-After": f"{retry_after_s:.3g}"} if retry_after_s is not None else {}
    body = orjson.dumps({"error": {"code": reason}})
    response = web.Response(
        status=status, body=body, headers=headers, content_type="application/json"
    )
    if close:
        response.force_close()
    return response
