"""Imports the libraries that no request needs before the first answer, after the start.

Stateless. A daemon that starts after a total loss has callers at once, and on a small box each
library that it imports first delays its first answers.
"""

import asyncio
import importlib
import logging

from ..logs import log_event

__all__ = ["LATE_MODULES", "import_late"]

_LOG = logging.getLogger("ferrydock.route_daemon")

# Calls between daemons. The modules that use them import them in their functions.
LATE_MODULES = ("grpc.aio",)


async def import_late(names: tuple[str, ...] = LATE_MODULES) -> None:
    """Import modules one after another in a thread, so that the event loop keeps running.

    Raises
    ------
    Exception
        Whatever an import raises, after it was logged; the caller lets it end the process, as a
        failed import at the start would.
    """
    loop = asyncio.get_running_loop()
    for name in names:
        try:
            await loop.run_in_executor(None, importlib.import_module, name)
        except Exception as error:
            log_event(_LOG, logging.CRITICAL, "late_import_failed", module=name, why=repr(error))
            raise
