"""A deployment in which one request crashes each worker that begins to run it, and its rule.

The rule is **BUDGET** of the page `new-on-the-pages`: such a request reaches workers in more than
three retries, sent by machines in touch later than `contact-ms` after it has crashed the third.
"""

import asyncio
import functools
import random

from ferrydock.standins.fleet import CRASHING_BODY, RunRecord

from .site import Answer, Record, Site, ask

__all__ = ["CONTACT_S", "CRASHING", "MAX_LATE_RETRIES", "CrashSite", "crash_although_left"]

# `contact-ms` of the sheet, and the number of retries that the rule allows.
CONTACT_S = 3.0
MAX_LATE_RETRIES = 3

# The request: the same path, caller and body each time. The route's requests run at most once.
PATH = "/file/grade"
CRASHING = CRASHING_BODY + b" on this one"

# How long a worker runs the request until it crashes, and how long it is away then.
CRASH_AFTER_S = 0.3
AWAY_S = (1.0, 1.6)

# Pause between two requests of an ordinary caller.
ORDINARY_PAUSE_S = 0.2


class LoggingRecord(RunRecord):
    """Writes what workers begin to run into the record of the case."""

    def __init__(self, record: Record):
        super().__init__()
        self.case = record

    def record_crashing(self, request, body):
        """Record the arrival of the request that crashes workers."""
        seen = super().record_crashing(request, body)
        request_id = request.headers["X-Attempt-Id"]
        worker = request.headers.get("X-Expect-Instance", "")
        self.case.write(f"worker {worker} begins to run {request_id}, which will crash it")
        return seen


class CrashSite(Site):
    """Six machines in three zones, with three workers of the plain service."""

    def __init__(self, record: Record):
        super().__init__(record, ("plateau", "almadies", "rufisque"), 2)
        self.fleet.record = LoggingRecord(record)
        self.ordinary: list[Answer] = []
        self._callers: list[asyncio.Task] = []

    async def start(self) -> None:
        """Start the deployment and the ordinary callers."""
        await super().start()
        for face in self.fleet.faces.values():
            face.crash_after_s = CRASH_AFTER_S
            face.on_crash = functools.partial(self._crash, face.on_crash)
        self._callers = [asyncio.ensure_future(self._call(daemon)) for daemon in self.daemons]
        await asyncio.sleep(CONTACT_S + 1.0)

    def _crash(self, crash, worker) -> None:
        self.record.write(f"worker {worker.worker_id} crashes")
        crash(worker)

    async def _call(self, daemon) -> None:
        """Send ordinary requests of another caller, none of which crashes a worker."""
        while True:
            body = b"ordinary %d" % random.getrandbits(60)
            answer = await ask(daemon.address, PATH, self.record, body=body, key="key-bolt")
            self.ordinary.append(answer)
            await asyncio.sleep(ORDINARY_PAUSE_S)

    async def send_crashing(self, daemon, leaves_after_s: float | None = None) -> Answer:
        """Send the request that crashes workers to a daemon, and record what its caller gets."""
        request_id = f"{random.getrandbits(64):016x}"
        self.record.write(f"caller sends {request_id} to {daemon.name}")
        answer = await ask(
            daemon.address,
            PATH,
            self.record,
            body=CRASHING,
            request_id=request_id,
            leaves_after_s=leaves_after_s,
        )
        got = f"{answer.status} {answer.body.decode(errors='replace')}" if answer.status else ""
        self.record.write(f"caller of {request_id}: {answer.end} {got}")
        return answer

    def has_rule_held(self) -> bool:
        """Count the late retries, write the result, and return whether the rule held."""
        for caller in self._callers:
            caller.cancel()
        lost = [answer for answer in self.ordinary if answer.status != 200]
        self.record.write(f"{len(self.ordinary)} ordinary requests, {len(lost)} not served")
        for answer in lost:
            what = answer.body.decode(errors="replace")
            text = f"ordinary {answer.request_id}: {answer.end} {answer.status} {what}"
            self.record.write(f"{text}, sent at {answer.sent_s:.3f} s")
        (seen,) = self.fleet.record.crashing.values()
        crashes = sorted(seen.crashed_s)
        self.record.write(f"{len(seen.arrived)} arrivals at workers, {len(crashes)} crashes")
        if len(crashes) < 3:
            return True
        late = [at_s for at_s, _ in seen.arrived if at_s > crashes[2] + CONTACT_S]
        self.record.write(
            f"{len(late)} of the arrivals later than {CONTACT_S:g} s after the third crash, "
            f"at most {MAX_LATE_RETRIES} are allowed"
        )
        return len(late) <= MAX_LATE_RETRIES


def crash_although_left(site: CrashSite) -> None:
    """Let the workers go on with a request after its connection is closed, as some do."""

    async def run(face, seen) -> None:
        loop = asyncio.get_running_loop()
        born_ms = face.worker.born_ms

        def crash() -> None:
            if face.worker.born_ms == born_ms and face.worker.alive:
                seen.crashed_s.append(loop.time())
                face.on_crash(face.worker)

        loop.call_later(face.crash_after_s, crash)
        await asyncio.sleep(face.crash_after_s + 1.0)
        raise asyncio.CancelledError  # the crash closes the connection

    for face in site.fleet.faces.values():
        face._crash = functools.partial(run, face)
