"""Registry of the kinds of engine that ferrydock can control."""

from collections.abc import Callable

from ._port import EngineControl

__all__ = ["engine_kinds", "make_engine_control", "register_engine"]

_CONTROL_CLASSES: dict[str, type] = {}


def register_engine(name: str) -> Callable[[type], type]:
    """Return a decorator that registers an `EngineControl` class as the engine kind `name`."""

    def register(cls: type) -> type:
        if name in _CONTROL_CLASSES:
            raise AssertionError(f"engine kind {name!r} is registered twice")
        _CONTROL_CLASSES[name] = cls
        return cls

    return register


def engine_kinds() -> tuple[str, ...]:
    """Return the names of the registered engine kinds, sorted."""
    return tuple(sorted(_CONTROL_CLASSES))


def make_engine_control(name: str, **parameters) -> EngineControl:
    """Return an `EngineControl` for the engine kind `name`, constructed with `parameters`."""
    return _CONTROL_CLASSES[name](**parameters)
