"""Public names of a package whose modules are imported at their first use; stateless.

The route daemon uses few names of some packages, and its start is to be short.
"""

from collections.abc import Callable, Mapping
from importlib import import_module
from typing import Any

__all__ = ["late_names"]


def late_names(package: str, modules_by_name: Mapping[str, str]) -> Callable[[str], Any]:
    """Return the ``__getattr__`` of a package that imports the given names at their first use.

    Parameters
    ----------
    package : str
        Full name of the package.
    modules_by_name : mapping of str to str
        Relative name of the module that defines each name.

    Examples
    --------
    >>> get = late_names("ferrydock", {"format_event": ".logs"})
    >>> get("format_event")("started", hall="a")
    'event=started hall=a'
    >>> get("missing")
    Traceback (most recent call last):
    AttributeError: module 'ferrydock' has no attribute 'missing'
    """

    def get(name: str) -> Any:
        module = modules_by_name.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(module, package), name)

    return get
