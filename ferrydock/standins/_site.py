"""All stand-ins of a site behind one HTTP address, with a route that switches faults."""

import random
from collections import deque
from dataclasses import dataclass

import orjson
from aiohttp import web

from ..clock import Clock, SystemClock
from ..invariants import require
from ..store import Box, MemoryStore
from ._engine import EngineProfile, StandInFleet
from ._engine_http import engine_routes
from ._etcd import StandInEtcd
from ._plain import StandInService
from ._weights import StandInWeightStore

__all__ = ["SiteSize", "StandInSite"]


@dataclass(frozen=True, slots=True)
class SiteSize:
    """Size of the stand-in site, and properties of its weight store and box list.

    Attributes
    ----------
    halls : tuple of str
        Names of the halls.
    domains_per_hall, boxes_per_domain : int
        Fabric domains per hall, and boxes per fabric domain.
    accelerators_per_box : int
        Accelerators that the box list shows for each box.
    weight_rate_bytes_per_s : float
        Rate of the weight store over all readers.
    box_list_lag_s : float
        Age of the state that the box list shows.
    """

    halls: tuple[str, ...] = ("hall-a",)
    domains_per_hall: int = 3
    boxes_per_domain: int = 4
    accelerators_per_box: int = 8
    weight_rate_bytes_per_s: float = 1e9
    box_list_lag_s: float = 0.0


class StandInSite:
    """Stand-ins of the platform and the targets of a site.

    Parameters
    ----------
    size : SiteSize
        Number of boxes, and rates.
    profile : EngineProfile, default=EngineProfile()
        Speed of the engines.
    clock : Clock, default=SystemClock()
        Clock of all stand-ins.
    random_source : random.Random, default=random.Random(0)
        Decides which cache events are lost.
    """

    def __init__(
        self,
        size: SiteSize,
        profile: EngineProfile | None = None,
        clock: Clock | None = None,
        random_source: random.Random | None = None,
    ):
        self.size = size
        self.clock = clock or SystemClock()
        self.store = MemoryStore(self.clock)
        self.etcd = StandInEtcd(self.store)
        self.weights = StandInWeightStore(self.clock, size.weight_rate_bytes_per_s)
        self.fleet = StandInFleet(
            self.clock, self.weights, profile or EngineProfile(), random_source or random.Random(0)
        )
        self.service = StandInService()
        self.box_list_down = False
        self.leaving: set[str] = set()
        self.delisted: set[str] = set()
        self._list_history: deque[tuple[float, tuple[Box, ...]]] = deque(maxlen=4096)
        self._runner: web.AppRunner | None = None
        self._url = ""
        for hall in size.halls:
            self._add_hall(hall)

    @property
    def url(self) -> str:
        """Base address of all stand-ins."""
        return self._url

    def _add_hall(self, hall: str) -> None:
        for domain in range(self.size.domains_per_hall):
            for index in range(self.size.boxes_per_domain):
                self.fleet.add_box(f"{hall}-d{domain}-b{index}", hall, f"{hall}-d{domain}")

    def boxes(self, hall: str) -> tuple[Box, ...]:
        """Return the boxes of a hall as the box list shows them, `box_list_lag_s` old."""
        now_s = self.clock.now_s()
        current = tuple(
            Box(
                box.name,
                box.hall,
                box.fabric_domain,
                f"{self._url}/boxes/{box.name}",
                self.size.accelerators_per_box,
                box.name in self.leaving,
            )
            for box in self.fleet.boxes.values()
            if box.name not in self.delisted
        )
        self._list_history.append((now_s, current))
        lagged = [
            boxes for at_s, boxes in self._list_history if at_s <= now_s - self.size.box_list_lag_s
        ]
        shown = lagged[-1] if lagged else self._list_history[0][1]
        return tuple(box for box in shown if box.hall == hall)

    def application(self) -> web.Application:
        """Return the HTTP application of all stand-ins."""
        app = web.Application(client_max_size=16 * 2**20)
        app.add_routes(self.etcd.routes())
        app.add_routes(self.weights.routes())
        app.add_routes(engine_routes(self.fleet))
        app.add_routes(self.service.routes())
        app.add_routes(
            [
                web.get("/boxes", self._get_boxes),
                web.post("/faults", self._post_fault),
                web.get("/counts", self._get_counts),
            ]
        )
        return app

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> "StandInSite":
        """Start to listen; port 0 selects a free port."""
        self._runner = web.AppRunner(self.application(), access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        listener = web.TCPSite(self._runner, host, port, backlog=1024)
        await listener.start()
        bound_address = self._runner.addresses[0]
        self._url = f"http://{bound_address[0]}:{bound_address[1]}"
        return self

    async def close(self) -> None:
        """Stop listening and cancel all tasks of the fleet."""
        await self.fleet.close()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _get_boxes(self, request: web.Request) -> web.Response:
        if self.box_list_down:
            require(request.transport, "the connection").abort()
            return web.Response(status=503)
        listed = self.boxes(request.query.get("hall", ""))
        fields = [
            {
                "name": box.name,
                "hall": box.hall,
                "fabric_domain": box.fabric_domain,
                "url": box.url,
                "accelerators": box.accelerators,
                "leaving": box.leaving,
            }
            for box in listed
        ]
        return web.json_response({"boxes": fields})

    async def _get_counts(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "store_calls": dict(self.etcd.calls),
                "runs": self.fleet.runs,
                "executions": dict(self.service.executions),
                "weight_bytes_read": self.weights.bytes_read,
                "prompt_blocks": self.fleet.prompt_blocks,
                "reused_blocks": self.fleet.reused_blocks,
            }
        )

    async def _post_fault(self, request: web.Request) -> web.Response:
        """Switch one fault: ``{"fault": NAME, ...}``."""
        fields = orjson.loads(await request.read())
        problem = self.switch_fault(fields)
        status = 400 if problem else 200
        return web.json_response({"problem": problem}, status=status)

    def switch_fault(self, fields: dict) -> str:
        """Switch one fault on or off.

        Returns
        -------
        problem : str
            Why the fault cannot be switched; empty if it was.
        """
        name = fields.get("fault")
        if name in ("kill", "pause", "resume", "restart"):
            box = self.fleet.boxes.get(fields.get("box", ""))
            if box is None:
                return f"there is no box {fields.get('box')!r}"
            getattr(box, name)()
        elif name == "leaving":
            self.leaving.add(fields["box"])
        elif name == "store":
            for field in ("down", "delay_s", "lose_answers", "silent_watches"):
                if field in fields:
                    setattr(self.etcd.faults, field, fields[field])
        elif name == "lapse":
            self.store.lapse_leases()
        elif name == "box_list":
            self.box_list_down = bool(fields.get("down"))
        else:
            return f"there is no fault {name!r}"
        return ""
