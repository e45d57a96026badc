"""Log lines of failed attempts."""

import pytest

from ...configuration import RouteKind
from .rig import Rig, ScriptedTarget, play, resets, route, writes
from .test_forwarding import STREAM, events
from .test_send_times import lines_of

PLAIN_WITHOUT_END = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 9\r\n\r\nabc"


@pytest.mark.parametrize("kind", [RouteKind.REPEATABLE, RouteKind.RESUMABLE_STREAM])
@pytest.mark.parametrize(
    ("ends", "error"), [("closed", "ServerDisconnectedError"), ("reset", "ClientOSError")]
)
def test_line_of_a_broken_answer_tells_a_closed_from_a_reset_connection(caplog, kind, ends, error):
    async def scenario():
        begun = STREAM + events(1) if kind.is_stream else PLAIN_WITHOUT_END
        script = writes(begun, keep=False) if ends == "closed" else resets(begun)
        async with Rig([route(kind=kind, attempts=1)], [ScriptedTarget(script)]) as rig:
            await rig.ask()

    caplog.set_level("INFO", logger="ferrydock.forwarding")
    play(scenario)
    line = lines_of(caplog, "attempt_failed")[0]
    assert (line["why"], line["error"]) == ("broken", error)
