"""What the README and the pages tell to type, run as processes.

Each command ends by itself; its exit status and its last lines are the verdict.
"""

import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from ferrydock.emulator import loopback_address

from .processes import ROOT, Process, wait_until

# Ends a command that hangs. Chosen, not measured.
COMMAND_LIMIT_S = 300.0

BENCHMARKS = sorted(
    path.stem for path in (ROOT / "benchmarks").glob("*.py") if not path.stem.startswith("_")
)
EMULATIONS = sorted(path.name for path in (ROOT / "examples").glob("*.toml"))
BENCHMARKS_AT_ONCE = 3
MUST_BE_ABOVE_0 = ("requests", "served_part")


def run(*command, stdin=None):
    """Run a command at the root of the checkout; return the finished process."""
    beside_python = str(Path(sys.executable).parent)
    return subprocess.run(
        command,
        capture_output=True,
        text=True,
        cwd=ROOT,
        input=stdin,
        timeout=COMMAND_LIMIT_S,
        env={**os.environ, "PATH": beside_python + os.pathsep + os.environ["PATH"]},
    )


def ferrydock(*words, stdin=None):
    done = run("ferrydock", *words, stdin=stdin)
    assert done.returncode == 0, done.stdout[-2000:] + done.stderr[-2000:]
    return done.stdout


def test_every_claim_of_the_demo_holds():
    told = ferrydock("demo")
    assert "claim=failed" not in told
    assert told.count("claim=held") == 7


def test_the_demo_of_routes_keeps_every_promise():
    assert "done: every promise held" in ferrydock("demo", "routes")


@pytest.fixture
def embedded(tmp_path):
    """A daemon with its stand-ins, as the README starts it."""
    log_path = tmp_path / "daemon.log"
    daemon = Process(
        "ferrydock.daemon",
        "--embedded",
        "--listen=127.0.0.1:0",
        "--peer_listen=127.0.0.1:0",
        log_path=log_path,
    )
    yield daemon
    daemon.end()


def test_every_verb_works_on_one_daemon(embedded, tmp_path):
    to = f"--daemon={embedded.url}"
    wait_until(
        lambda: run("ferrydock", to, "request", "draft-large", stdin="ready?").returncode == 0,
        "the daemon answers",
    )
    assert "請修水溝" in ferrydock(to, "request", "draft-large", stdin="請修水溝")
    assert "draft-large" in ferrydock(to, "table", "show")
    ferrydock(to, "table", "set", "shares", "demo-draft", "priority=7")
    assert ferrydock(to, "table", "get", "shares", "demo-draft", "priority") == "7\n"
    assert "priority" in ferrydock(to, "table", "log")
    assert "in force" in ferrydock(to, "table", "watch", "--until_revision=2")
    folder = tmp_path / "site"
    ferrydock(to, "table", "export", str(folder))
    assert "shares.csv" in {path.name for path in folder.iterdir()}
    ferrydock(to, "table", "apply", str(folder), "--dry_run")
    assert "replica" in ferrydock(to, "status")
    replica = json.loads(ferrydock(to, "status", "--json"))["replicas"][0]["replica"]
    assert replica in ferrydock(to, "status", f"--explain={replica}")
    assert ferrydock(to, "report", "burn")
    assert ferrydock("version").startswith("ferrydock ")
    ferrydock(to, "table", "set", "teams", "other", f"key_digests={'0' * 64}")
    ferrydock(to, "table", "delete", "teams", "other")


def test_the_example_with_the_openai_client_gets_an_answer(embedded):
    def answers():
        return run(sys.executable, "examples/ask.py", embedded.url).stdout.strip()

    assert "drain in our street" in wait_until(answers, "the example is answered")


def test_the_example_of_three_halls_runs_to_its_end():
    done = run("bash", "examples/three_halls.sh", loopback_address())
    assert done.returncode == 0, done.stderr[-2000:]
    assert "The pump at the harbour is broken." in done.stdout
    assert done.stdout.count("  daemon ") >= 1


@pytest.mark.parametrize("name", EMULATIONS)
def test_each_example_of_the_emulator_keeps_every_promise(name, tmp_path):
    page = tmp_path / "page.html"
    told = ferrydock("emulate", f"examples/{name}", str(tmp_path / "logs"), f"--report={page}")
    figures = json.loads(told[: told.rindex("}") + 1])
    assert all(figures[field] > 0 for field in MUST_BE_ABOVE_0)
    assert "<svg" in page.read_text()
    logs = [str(path) for path in (tmp_path / "logs").glob("*.log")]
    request = next(
        word.partition("=")[2]
        for path in logs
        for line in Path(path).read_text().splitlines()
        if "event=request_done" in line
        for word in line.split()
        if word.startswith("request=")
    )
    assert "cause:" in ferrydock("explain", request, *logs)


@pytest.fixture(scope="module")
def benchmark_runs():
    """All benchmarks, some at a time, since most of them mostly wait; results by name."""
    with ThreadPoolExecutor(BENCHMARKS_AT_ONCE) as threads:
        yield {
            name: threads.submit(run, sys.executable, "-m", f"benchmarks.{name}", "--quick")
            for name in BENCHMARKS
        }


@pytest.mark.parametrize("name", BENCHMARKS)
def test_each_benchmark_runs_to_its_end(name, benchmark_runs):
    done = benchmark_runs[name].result()
    assert done.returncode == 0, done.stdout[-2000:] + done.stderr[-2000:]
    assert done.stdout.strip()
