"""ferrydock: a serving system for language models that span several boxes."""

import gc

__version__ = "0.1.0"

__all__ = ["__version__"]

# Allocations between two runs of the garbage collector until a program is loaded, in place of 700.
# What is imported lives as long as the process, so looking through it again and again finds
# nothing: importing the route daemon took 0.43 s of processor in place of 0.47 (medians of twelve
# alternating starts on one machine). `startup.run_service` ends it.
IMPORT_GC_THRESHOLD = 100_000

gc.set_threshold(IMPORT_GC_THRESHOLD)
