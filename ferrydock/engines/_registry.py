"""Registry of the kinds of engine that ferrydock can speak to."""

from collections.abc import Callable

from ._port import EngineControl

__all__ = ["engine_kinds", "make_engine_control", "register_engine"]

_ENGINES: dict[str, type] = {}


def register_engine(name: str) -> Callable[[type], type]:
    """Return a decorator that enters an `EngineControl` class under `name`."""

    def enter(cls: type) -> type:
        if name in _ENGINES:
            raise AssertionError(f"engine kind {name!r} is registered twice")
        _ENGINES[name] = cls
        return cls

    return enter


def engine_kinds() -> tuple[str, ...]:
    """Return the registered names, sorted."""
    return tuple(sorted(_ENGINES))


def make_engine_control(name: str, **parameters) -> EngineControl:
    """Make the control side of the engine kind `name`."""
    return _ENGINES[name](**parameters)
