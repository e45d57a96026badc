"""A controller whose configuration adds models, removes them, or has none."""

import asyncio

from ...configuration import Configuration, EngineSpec, ModelSpec, ServiceSpec
from ...standins.fleet import run_virtually
from .hall import Hall


def test_an_engine_without_models_does_not_stop_the_controller():
    async def scenario():
        hall = Hall(1)
        services = {**hall.current.lookup.configuration.services}
        # Replaces the service that the hall's targets belong to.
        empty = ServiceSpec("engines", 100, EngineSpec(9, 5.0, ()))
        hall.current.apply_if_newer(Configuration(2, (), {"engines": empty}, ()), 0.0)
        hall.start_controller()
        await asyncio.sleep(5.0)
        assert not hall.task.done()
        hall.current.apply_if_newer(Configuration(3, (), services, ()), 0.0)
        assert await hall.until(lambda: hall.models() == {"large": 2, "small": 4}, 60.0)

    run_virtually(scenario())


def test_a_controller_that_has_stepped_down_has_no_plan():
    async def scenario():
        hall = Hall(3)
        controller = hall.start_controller()
        assert await hall.until(lambda: hall.models() == {"large": 2, "small": 4}, 60.0)
        assert controller.plans["engines"].replicas == {"large": 2, "small": 4}
        hall.kill_controller()
        controller.step_down()
        assert controller.plans == {}

    run_virtually(scenario())


def with_models(*names):
    models = tuple(ModelSpec(name, 2, 0.5, 1.0, 0.2) for name in names)
    return {"engines": ServiceSpec("engines", 100, EngineSpec(9, 5.0, models))}


def test_models_added_and_removed_at_run_time_are_planned_for():
    async def scenario():
        hall = Hall(2)
        hall.start_controller()
        assert await hall.until(lambda: hall.models() == {"large": 2, "small": 4}, 60.0)
        both = hall.fleet.engine.models
        third = ModelSpec("third", 2, 0.5, 1.0, 0.2)
        engine = EngineSpec(9, 5.0, (*both, third))
        services = {"engines": ServiceSpec("engines", 100, engine)}
        hall.current.apply_if_newer(Configuration(2, (), services, ()), 0.0)
        await asyncio.sleep(5.0)
        assert not hall.task.done()
        assert "third" in hall.controller.planner.weights("engines", engine)
        hall.current.apply_if_newer(Configuration(3, (), with_models("small"), ()), 0.0)
        await asyncio.sleep(5.0)
        assert not hall.task.done()

    run_virtually(scenario())
