"""What the README and the pages tell to type, run as processes.

Each command ends by itself; its exit status and its last lines are the verdict.
"""

import subprocess
import sys

from .processes import ROOT

# Ends a command that hangs; a command takes a tenth of it on an idle machine.
COMMAND_LIMIT_S = 240.0


def run(*arguments):
    """Run ``python -m ...`` at the root of the checkout; return the finished process."""
    return subprocess.run(
        [sys.executable, "-m", *arguments],
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=COMMAND_LIMIT_S,
    )


def test_every_claim_of_the_demo_holds():
    done = run("ferrydock.cli", "demo")
    assert done.returncode == 0, done.stdout + done.stderr[-2000:]
    assert "claim=failed" not in done.stdout
    assert done.stdout.count("claim=held") == 7
