"""A controller passes over what forms no replicas."""

import asyncio

from ...configuration import Configuration, EngineSpec, ServiceSpec
from ...standins.fleet import run_virtually
from .hall import Hall


def test_an_engine_without_models_does_not_stop_the_controller():
    async def scenario():
        hall = Hall(1)
        services = {**hall.current.lookup.configuration.services}
        # In front of the other one, and with targets of the hall's.
        empty = ServiceSpec("engines", 100, EngineSpec(9, 5.0, ()))
        hall.current.offer(Configuration(2, (), {"engines": empty}, ()), 0.0)
        hall.start_controller()
        await asyncio.sleep(5.0)
        assert not hall.task.done()
        hall.current.offer(Configuration(3, (), services, ()), 0.0)
        assert await hall.until(lambda: hall.models() == {"large": 2, "small": 4}, 60.0)

    run_virtually(scenario())
