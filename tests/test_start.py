"""What a start of the route daemon imports and compiles, in processes of their own."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from ferrydock.emulator import free_ports, loopback_address
from ferrydock.logs import parse_event

ROOT = Path(__file__).resolve().parent.parent


def run_python(folder, *arguments):
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(p for p in sys.path if p)}
    environment["PYTHONPATH"] = f"{folder}{os.pathsep}{environment['PYTHONPATH']}"
    command = [sys.executable, *arguments]
    return subprocess.run(
        command, cwd=folder, env=environment, capture_output=True, text=True, timeout=60
    )


@pytest.fixture
def built_tree(tmp_path):
    """A copy of a small part of the package, compiled as the build does it."""
    package = tmp_path / "ferrydock"
    package.mkdir()
    for name in ("__init__.py", "_compiled.py", "_early_signals.py", "clock.py"):
        (package / name).write_bytes((ROOT / "ferrydock" / name).read_bytes())
    arguments = ("-m", "compileall", "-q", "--invalidation-mode", "checked-hash", "ferrydock")
    done = run_python(tmp_path, "-X", "pycache_prefix=target/pycache", *arguments)
    assert done.returncode == 0, done.stderr
    return tmp_path


def loaded_byte_code(folder):
    """Return the byte code files that importing the copy's modules finds valid."""
    done = run_python(folder, "-v", "-B", "-c", "import ferrydock.clock")
    assert done.returncode == 0, done.stderr
    lines = done.stderr.splitlines()
    return [line.split()[1] for line in lines if " matches " in line and "clock.py" in line]


def test_the_byte_code_of_the_build_is_found_whatever_the_time_of_the_source(built_tree):
    """Failure: a checkout sets other modification times, and every start compiles the package."""
    os.utime(built_tree / "ferrydock" / "clock.py", (1, 1))
    (path,) = loaded_byte_code(built_tree)
    assert str(built_tree / "target" / "pycache") in path


def test_byte_code_of_another_source_is_not_run(built_tree):
    """Failure: after an update without a build, a daemon runs the former code."""
    clock = built_tree / "ferrydock" / "clock.py"
    clock.write_text("NEW = 1\n")
    done = run_python(built_tree, "-B", "-c", "import ferrydock.clock as c; print(c.NEW)")
    assert done.stdout.strip() == "1", done.stderr
    assert loaded_byte_code(built_tree) == []


def test_a_missing_build_folder_changes_nothing(built_tree):
    """Failure: a daemon from a tree without a build does not start."""
    (built_tree / "target").rename(built_tree / "elsewhere")
    done = run_python(built_tree, "-B", "-c", "import ferrydock.clock, sys; print(sys.path_hooks)")
    assert done.returncode == 0, done.stderr
    assert "_compiled" not in done.stdout


# Imported only after the listeners are open, or never by the route daemon.
NOT_BEFORE_THE_FIRST_ANSWER = (
    "aiohttp.web",
    "google",
    "grpc",
    "hdrh",
    "statsd",
    "ferrydock.cli",
    "ferrydock.emulator",
    "ferrydock.engines",
    "ferrydock.gateway",
    "ferrydock.membership",
    "ferrydock.node",
    "ferrydock.standins",
    "ferrydock.store._etcd",
    "ferrydock.table",
)


# Imported by aiomisc itself; nothing else may add to what aiomisc needs of it.
ONLY_WITH_AIOMISC = "multiprocessing"


def imported_by(module):
    """Return the names of all modules that a process has after importing `module`."""
    done = run_python(ROOT, "-c", f"import {module}, sys; print(*sys.modules)")
    assert done.returncode == 0, done.stderr
    return set(done.stdout.split())


def test_a_start_imports_only_what_the_first_answer_needs():
    """Failure: an import at the head of a module slows the start of each box after a total loss."""
    imported = imported_by("ferrydock.route_daemon.__main__")
    assert "ferrydock.route_daemon._daemon" in imported
    assert not imported & set(NOT_BEFORE_THE_FIRST_ANSWER)


def test_a_start_imports_no_more_of_multiprocessing_than_aiomisc_does():
    """Failure: a module imports multiprocessing unseen, because aiomisc imports it as well."""
    added = imported_by("ferrydock.route_daemon.__main__") - imported_by("aiomisc")
    assert not {name for name in added if name.partition(".")[0] == ONLY_WITH_AIOMISC}


def write_settings(path):
    """Write the settings of a daemon whose store refuses connections."""
    address = loopback_address()
    listen, ready, control, peer, store = free_ports(5, address)
    fields = {
        "node-name": "edge-1",
        "zone": "hall-a",
        "zones": {"hall-a": {}},
        "ip": address,
        "internal-ports": [peer],
        "listen": {
            "frontend": f"{address}:{listen}",
            "ready": f"{address}:{ready}",
            "control": f"{address}:{control}",
        },
        "platform": {"address": f"{address}:{store}"},
        "limits": {"memory-mb": 256},
        "bounds": {
            "grace-s": 8,
            "retry-budget-ratio": 0.1,
            "retry-slack": 10,
            "retry-window-s": 10,
            "stall-ms": 1000,
            "ceiling-window-s": 10,
            "ceiling-overshoot": 1.2,
        },
    }
    path.write_text(json.dumps(fields))


def test_a_late_import_that_fails_ends_the_process_with_a_log_line(tmp_path):
    """Failure: a daemon without its library for calls between daemons runs on, without a leader."""
    (tmp_path / "grpc").mkdir()
    (tmp_path / "grpc" / "__init__.py").write_text("raise ImportError('broken library')\n")
    write_settings(tmp_path / "settings.json")
    path = os.pathsep.join([str(tmp_path), str(ROOT), *(p for p in sys.path if p)])
    done = subprocess.run(
        [sys.executable, "-m", "ferrydock.route_daemon", f"--settings={tmp_path}/settings.json"],
        cwd=tmp_path,
        env={**os.environ, "PYTHONPATH": path},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 1, done.stdout + done.stderr
    events = [parse_event(line) for line in done.stdout.splitlines() if "event=" in line]
    started = next(event for event in events if event["event"] == "started")
    steps = [float(started[f"{name}_s"]) for name in ("interpreter", "imports", "settings")]
    assert steps == sorted(steps) and steps[-1] <= float(started["listeners_s"])
    failed = next(event for event in events if event["event"] == "late_import_failed")
    assert failed["module"] == "grpc.aio" and "broken library" in failed["why"]
