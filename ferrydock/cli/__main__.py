"""``python -m ferrydock.cli``."""

import sys

from ._main import main

sys.exit(main())
