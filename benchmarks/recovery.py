"""Recovery times of daemon processes after failures.

After the death of a replica's member: seconds until the replica gets no new work and until the hall
is complete again. After an outage of the store: seconds until the hall has a controller. After the
kill of the controller: seconds until it is replaced. The store calls of that time are counted.
"""

import argparse
import json
import statistics
import sys
import time
import urllib.request

from ._fleet import HALL, Fleet, is_serving
from ._processes import wait_until
from ._report import print_check, print_row

NAME = "recovery"
DAEMONS = 3
REPLICAS = 3


def inject_fault(fleet: Fleet, **fields) -> None:
    """Switch a fault of the stand-ins on or off."""
    body = json.dumps(fields).encode()
    urllib.request.urlopen(urllib.request.Request(fleet.standins.url + "/faults", body)).close()


def complete_generations(fleet: Fleet, daemon) -> dict[str, str]:
    """Return the generations by replica that may get work according to one daemon."""
    replicas = fleet.status(daemon)["replicas"]
    return {r["replica"]: r["generation"] for r in replicas if is_serving(r)}


def kill_member(fleet: Fleet, daemon) -> tuple[float, float, int]:
    """Kill a replica's box; return seconds to no new work and to recovery, and store calls."""
    victim = next(r for r in fleet.status(daemon)["replicas"] if r["whole"])
    name, generation, box = victim["replica"], victim["generation"], victim["boxes"][1]
    calls = sum(fleet.store_calls().values())
    started_s = time.monotonic()
    inject_fault(fleet, fault="kill", box=box)
    wait_until(lambda: complete_generations(fleet, daemon).get(name) != generation, "no new work")
    no_work_s = time.monotonic() - started_s
    wait_until(lambda: len(complete_generations(fleet, daemon)) == REPLICAS, "whole again")
    whole_s = time.monotonic() - started_s
    calls = sum(fleet.store_calls().values()) - calls
    inject_fault(fleet, fault="restart", box=box)
    time.sleep(3)
    return no_work_s, whole_s, calls


def kill_controller(fleet: Fleet) -> tuple[float, int]:
    """Kill the controller; return the seconds until another daemon controls, and store calls."""
    running_daemons = [d for d in fleet.daemons[HALL] if d.popen.poll() is None]
    name = fleet.status(running_daemons[0])["controller"]
    victim = next(d for d in running_daemons if d.ready["name"] == name)
    successor = next(d for d in running_daemons if d is not victim)
    calls = sum(fleet.store_calls().values())
    started_s = time.monotonic()
    victim.end()
    wait_until(lambda: fleet.status(successor)["controller"] != name, "another controller")
    took_s = time.monotonic() - started_s
    return took_s, sum(fleet.store_calls().values()) - calls


def main() -> int:
    """Run the benchmark, print its rows and checks; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer deaths")
    arguments = parser.parse_args()
    deaths = 1 if arguments.quick else 10
    fleet = Fleet({HALL: DAEMONS}, REPLICAS)
    try:
        fleet.wait_serving(REPLICAS)
        time.sleep(3)
        observer = fleet.daemons[HALL][-1]
        rows = [kill_member(fleet, observer) for _ in range(deaths)]
        no_work, whole_again, calls = (list(column) for column in zip(*rows, strict=True))
        print_row(
            NAME,
            failure="member_dies",
            no_new_work_median_s=statistics.median(no_work),
            no_new_work_worst_s=max(no_work),
            whole_again_median_s=statistics.median(whole_again),
            whole_again_worst_s=max(whole_again),
            store_calls_median=statistics.median(calls),
        )
        inject_fault(fleet, fault="store", down=True)
        time.sleep(15)
        inject_fault(fleet, fault="store", down=False)
        started_s = time.monotonic()
        wait_until(
            lambda: any(
                fleet.status(d)["controller_mode"] == "controller" for d in fleet.daemons[HALL]
            ),
            "the hall has rejoined",
        )
        print_row(NAME, failure="store_away", rejoined_s=time.monotonic() - started_s)
        took_s, controller_calls = kill_controller(fleet)
        print_row(NAME, failure="controller_dies", other_s=took_s, store_calls=controller_calls)
        print_check(NAME, "no_new_work_worst_s", max(no_work), "<=3")
    finally:
        fleet.end()
    return 0


if __name__ == "__main__":
    sys.exit(main())
