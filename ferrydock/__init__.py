"""ferrydock: a serving system for language models that span several boxes."""

import gc
import time

from ._early_signals import guard_start

guard_start()  # before the other imports, during which a signal would end a daemon

from ._compiled import use_compiled  # noqa: E402

__version__ = "0.1.0"

__all__ = ["__version__"]

# Allocations between two runs of the garbage collector during imports, instead of the default of
# 700. Imported objects live as long as the process, so repeated collections find nothing: importing
# the route daemon took 0.43 s of processor time instead of 0.47 s (medians of twelve alternating
# starts on one machine). `startup.run_service` restores the default.
IMPORT_GC_THRESHOLD = 100_000

# Local time at which the first module was imported: the interpreter has started by then.
IMPORTS_BEGAN_S = time.monotonic()

gc.set_threshold(IMPORT_GC_THRESHOLD)

use_compiled()
