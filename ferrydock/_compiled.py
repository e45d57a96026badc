"""Reads this package's byte code from the folder that the build compiles it to.

The platform builds the package once and then runs it from a read-only source tree, so that without
this every start would compile all modules. Owns no state; changes how Python finds the modules of
this package. The libraries and the standard library have their own byte code and are not affected.

``-X pycache_prefix`` would do the same for every module. If the folder was missing, though, the
libraries and the standard library would be compiled at each start as well.
"""

import sys
from importlib.machinery import SOURCE_SUFFIXES, FileFinder, SourceFileLoader
from pathlib import Path

__all__ = ["PYCACHE", "use_compiled"]

PACKAGE = Path(__file__).resolve().parent

# Written by the build command in `deploy/system.toml`.
PYCACHE = PACKAGE.parent / "target" / "pycache"


class _CompiledLoader(SourceFileLoader):
    """Looks for the byte code of a module in `PYCACHE`.

    Byte code that is missing, or was compiled from another source, is ignored, and the module is
    compiled from its source.
    """

    def get_code(self, fullname: str):
        previous, sys.pycache_prefix = sys.pycache_prefix, str(PYCACHE)
        try:
            return super().get_code(fullname)
        finally:
            sys.pycache_prefix = previous


def use_compiled() -> None:
    """Read byte code from `PYCACHE` for the modules of this package, if the build has written it.

    Must be called before any other module of the package is imported.
    """
    if not PYCACHE.is_dir():
        return
    make_finder = FileFinder.path_hook((_CompiledLoader, SOURCE_SUFFIXES))

    def hook(path: str):
        if not Path(path).is_relative_to(PACKAGE):
            raise ImportError
        return make_finder(path)

    sys.path_hooks.insert(0, hook)
    for path in [path for path in sys.path_importer_cache if Path(path).is_relative_to(PACKAGE)]:
        del sys.path_importer_cache[path]
