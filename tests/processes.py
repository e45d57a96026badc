"""Stand-ins and daemons as processes on loopback, each on free ports."""

import os
import re
import signal
import subprocess
import sys
import time
from pathlib import Path

from ferrydock.table import digest_key

ROOT = Path(__file__).resolve().parent.parent
OPERATOR_KEY = "test-operator-key"
TEAM_KEY = "test-team-key"
START_LIMIT_S = 60.0
CONDITION_LIMIT_S = 60.0


def wait_until(condition, what, limit_s=CONDITION_LIMIT_S):
    """Poll `condition` until it returns a true value, and return that value.

    `what` describes the condition in the error that is raised after `limit_s`.
    """
    deadline_s = time.monotonic() + limit_s
    while True:
        found = condition()
        if found:
            return found
        if time.monotonic() > deadline_s:
            raise AssertionError(f"condition not met within {limit_s} s: {what}")
        time.sleep(0.05)


class Process:
    """A ferrydock module run as a process, which logs ``event=ready`` once it listens."""

    def __init__(self, module, *arguments, log_path):
        self.log_path = log_path
        with open(log_path, "wb") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", module, *arguments], stderr=log, cwd=ROOT
            )
        self.ready = wait_until(self._ready_fields, f"{module} is ready", START_LIMIT_S)

    def _ready_fields(self):
        text = self.log_path.read_text()
        if self.popen.poll() is not None:
            raise AssertionError(f"the process exited with {self.popen.returncode}: {text[-2000:]}")
        line = re.search(r".*event=ready (.*)", text)
        return dict(pair.split("=", 1) for pair in line.group(1).split()) if line else None

    @property
    def url(self):
        return "http://" + self.ready["listen"]

    def log(self):
        return self.log_path.read_text()

    def signal(self, number):
        self.popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def end(self):
        if self.popen.poll() is None:
            self.signal(signal.SIGCONT)
            self.kill()


class Site:
    """The stand-in process and the daemons of one test; their logs go to `path`."""

    def __init__(self, path, halls):
        self.path = path
        self.processes = []
        self.standins = self._start(
            "ferrydock.standins", "--listen=127.0.0.1:0", "--halls=" + ",".join(halls)
        )
        self.daemons = []

    def _start(self, module, *arguments):
        log_path = self.path / f"process-{len(self.processes)}.log"
        process = Process(module, *arguments, log_path=log_path)
        self.processes.append(process)
        return process

    def daemon(self, hall, *extra_flags):
        platform = self.standins.url
        peers = ",".join(d.ready["peer_listen"] for d in self.daemons)
        process = self._start(
            "ferrydock.daemon",
            f"--hall={hall}",
            "--listen=127.0.0.1:0",
            f"--peers={peers}",
            f"--store_urls={platform}",
            f"--box_list_url={platform}",
            f"--weight_store_url={platform}",
            f"--operator_key_digests={digest_key(OPERATOR_KEY)}",
            "--stop_readiness_s=0",
            *extra_flags,
        )
        self.daemons.append(process)
        return process

    def end(self):
        for process in self.processes:
            process.end()


def cli(daemon, *words, key=OPERATOR_KEY, stdin=None):
    """Run the operator command line against a daemon; return the completed process."""
    return subprocess.run(
        [sys.executable, "-m", "ferrydock.cli", f"--daemon={daemon.url}", *words],
        capture_output=True,
        text=True,
        input=stdin,
        cwd=ROOT,
        env={**os.environ, "FERRYDOCK_OPERATOR_KEY": key},
    )


def fill_table(daemon, halls):
    """Write halls, a model, a team and its share to the table through one daemon."""
    for hall in halls:
        assert cli(daemon, "table", "set", "halls", hall, "region=test").returncode == 0
    rows = (
        ("site", "site", "member_wait_s=1", "lease_ttl_s=2"),
        ("models", "draft", "weight_bytes=100000000"),
        ("teams", "lanyu", f"key_digests={digest_key(TEAM_KEY)}"),
        ("shares", "lanyu-draft", "team=lanyu", "model=draft"),
    )
    for row in rows:
        done = cli(daemon, "table", "set", *row)
        assert done.returncode == 0, done.stderr
