"""Fleets of daemon processes on loopback with stand-ins, for benchmarks of the control plane."""

import json
import re
import time
import urllib.request
from datetime import datetime
from pathlib import Path

from ferrydock.table import digest_key

from ._processes import Program, wait_until

KEY = "bench-key"
HALL = "hall-0"
CONCURRENT_STARTS = 8
BOXES_PER_DOMAIN = 16
IN_FORCE = re.compile(r"time=(\S+) .*event=table_in_force revision=(\d+)")


def call(url: str, body=None) -> dict:
    """Return the JSON reply to a GET, or to a POST of `body` if it is given."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data, {"Authorization": f"Bearer {KEY}"})
    with urllib.request.urlopen(request, timeout=30) as response:
        return json.loads(response.read())


def is_serving(replica: dict) -> bool:
    """Return whether a replica takes requests; one that is forming may be whole, too."""
    return replica["whole"] and replica["phase"] == "serving"


class Fleet:
    """Daemons of several halls, with their stand-ins and a filled table.

    Parameters
    ----------
    sizes : dict of str to int
        Daemons of each hall.
    replicas : int
        Replicas of each hall, of four boxes.
    module : str, default="ferrydock.daemon"
        Module that is run as the daemon.
    """

    def __init__(self, sizes: dict[str, int], replicas: int, module: str = "ferrydock.daemon"):
        domains = -(-replicas * 4 // BOXES_PER_DOMAIN) + 1
        self.standins = Program(
            "ferrydock.standins",
            "--listen=127.0.0.1:0",
            "--halls=" + ",".join(sizes),
            f"--domains_per_hall={domains}",
            f"--boxes_per_domain={BOXES_PER_DOMAIN}",
            "--weight_rate_bytes_per_s=1e12",
        )
        self.daemons: dict[str, list[Program]] = {hall: [] for hall in sizes}
        self.module = module
        seeds: list[str] = []
        for hall in sizes:
            first = self._start(hall, seeds)
            first.wait_ready()
            seeds.append(first.ready["peer_listen"])
        for hall, size in sizes.items():
            self._start_remaining(hall, size - 1, seeds)
        self.all_daemons = [d for daemons in self.daemons.values() for d in daemons]
        self._fill_table(list(sizes), replicas)

    def _start(self, hall: str, seeds: list[str]) -> Program:
        daemon = Program(
            self.module,
            f"--hall={hall}",
            "--listen=127.0.0.1:0",
            "--peers=" + ",".join(seeds),
            f"--store_urls={self.standins.url}",
            f"--box_list_url={self.standins.url}",
            f"--weight_store_url={self.standins.url}",
            f"--operator_key_digests={digest_key(KEY)}",
            wait=False,
        )
        self.daemons[hall].append(daemon)
        return daemon

    def _start_remaining(self, hall: str, count: int, seeds: list[str]) -> None:
        while count > 0:
            batch = [self._start(hall, seeds) for _ in range(min(CONCURRENT_STARTS, count))]
            for daemon in batch:
                daemon.wait_ready()
            count -= len(batch)

    def _fill_table(self, halls: list[str], replicas: int) -> None:
        changes = []
        rows = {
            ("site", "site"): {"operator_key_digests": digest_key(KEY)},
            ("models", "draft"): {"replicas_per_hall": str(replicas), "weight_bytes": "1000000"},
            ("teams", "bench"): {"key_digests": digest_key(KEY)},
            ("shares", "bench-draft"): {"team": "bench", "model": "draft"},
            **{("halls", hall): {"region": "bench"} for hall in halls},
        }
        for (sheet, row), cells in rows.items():
            changes.append([sheet, row, None, ""])
            changes += [[sheet, row, column, text] for column, text in cells.items()]
        self.edit(changes)

    def edit(self, changes: list) -> tuple[int, float]:
        """Edit the table; return the revision and the wall-clock time of its acceptance."""
        url = self.all_daemons[0].url
        base = call(url + "/operator/table")["revision"]
        fields = {"edit_id": f"bench{time.time_ns()}", "base_revision": base, "changes": changes}
        accepted = call(url + "/operator/edits", fields)
        return accepted["revision"], time.time()

    def status(self, daemon: Program) -> dict:
        """Return the status that one daemon reports to operators."""
        return call(daemon.url + "/operator/status")

    def wait_serving(self, replicas: int) -> None:
        """Wait until the first and last daemon of each hall see `replicas` replicas that serve."""
        for daemons in self.daemons.values():
            for daemon in (daemons[0], daemons[-1]):
                wait_until(
                    lambda d=daemon: sum(map(is_serving, self.status(d)["replicas"])) >= replicas,
                    "all replicas serve",
                    120,
                )

    def in_force_s(self, revision: int, accepted_s: float, daemons: list[Program]) -> list[float]:
        """Wait until `revision` is in force on `daemons`.

        Return for each the seconds since its acceptance at the wall-clock time `accepted_s`.
        """
        return [self._one_in_force(d, revision) - accepted_s for d in daemons]

    def _one_in_force(self, daemon: Program, revision: int) -> float:
        def time_in_force():
            for stamp, number in IN_FORCE.findall(Path(daemon.log.name).read_text()):
                if int(number) >= revision:
                    return datetime.fromisoformat(stamp).timestamp()
            return None

        return wait_until(time_in_force, f"revision {revision} in force", 60)

    def store_calls(self) -> dict[str, int]:
        """Return the number of calls to the stand-in store so far, by kind."""
        with urllib.request.urlopen(self.standins.url + "/counts") as response:
            return json.loads(response.read())["store_calls"]

    def end(self) -> None:
        """Kill all daemons and the stand-ins."""
        for daemons in self.daemons.values():
            for daemon in daemons:
                daemon.end()
        self.standins.end()


def memory_share() -> float:
    """Return the fraction of the machine's memory that is in use."""
    fields = {}
    for line in Path("/proc/meminfo").read_text().splitlines():
        name, value = line.split(":")
        fields[name] = int(value.split()[0])
    return 1 - fields["MemAvailable"] / fields["MemTotal"]
