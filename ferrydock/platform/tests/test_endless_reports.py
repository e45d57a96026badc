"""A worker whose report has no end is unavailable, without the report being held."""

import pytest

from ...forwarding.tests.flooding_server import FloodingServer
from ...forwarding.tests.rig import play
from ...outcomes import Unavailable
from ...targets import Target
from .._control import PlatformTargetControl

HEAD = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    ("head", "unit", "reason"),
    [
        (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n", "ClientResponseError"),
        (HEAD, b"Name: value\r\n", "ClientResponseError"),
        (HEAD + b"\r\n", b"a", "BodyTooLarge"),
        (HEAD + b"Content-Length: 1000000000000\r\n\r\n", b"a", "BodyTooLarge"),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\na\r\n", "BodyTooLarge"),
    ],
    ids=["informational heads", "header lines", "body", "body with a length", "chunks"],
)
def test_a_report_without_end_is_not_read_until_its_time_limit(head, unit, reason):
    async def scenario():
        server = FloodingServer(head, unit)
        await server.start()
        control = PlatformTargetControl()
        try:
            target = Target("t0", "plain", server.address, "hall-a", 6)
            report = await control.report(target, timeout_s=5.0)
        finally:
            await control.close()
            server.close()
        assert isinstance(report, Unavailable)
        assert report.reason == reason

    play(scenario)
