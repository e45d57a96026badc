"""Replicas that this daemon considers lost, and whether their members answer again.

A daemon may be wrong: its polls may have been lost while those of the hall leader were answered,
and then the replica goes on serving other daemons. Owns the last lost replicas, in memory; the set
of all of them is in the `EndpointCatalog`.
"""

from collections.abc import Awaitable, Callable, Coroutine, Mapping
from dataclasses import dataclass

from ..clock import Clock
from ..targets import Target

__all__ = ["LostReplicas"]

# How long a lost replica is not polled. Within this time a leader that considers it lost too has
# dissolved it, and has told this daemon so.
FIRST_CHECK_AFTER_S = 8.0

# Interval between two polls of the members of a lost replica that is still listed as open.
CHECK_INTERVAL_S = 2.0

# Bounds the memory, and the time that a step takes; a hall has some dozens of replicas at once.
MAX_LOST_REPLICAS = 100

ReplicaKey = tuple[str, int]


@dataclass(slots=True, eq=False)
class _LostReplica:
    """A lost replica.

    Attributes
    ----------
    members : mapping of str to Target
        Its members by id, as known when it was lost.
    check_s : float
        Local time of the next poll of its members, at the earliest.
    is_reported : bool
        Whether the hall leader reports that it avoids the replica.
    """

    members: Mapping[str, Target]
    check_s: float
    is_reported: bool
    is_checking: bool = False


class LostReplicas:
    """Polls the members of lost replicas that are still listed as open.

    Parameters
    ----------
    open_members : callable
        Returns the members of a replica by id, as they are known now; empty if its head is not
        listed as open.
    do_members_answer : callable
        Polls targets; returns whether all report that they belong to a replica.
    on_answering : callable
        Called with name and epoch of a replica whose members have all answered. It counts as lost
        no longer.
    spawn : callable
        Starts a coroutine as a task.
    """

    __slots__ = (
        "_replicas",
        "clock",
        "do_members_answer",
        "on_answering",
        "open_members",
        "spawn",
    )

    def __init__(
        self,
        clock: Clock,
        open_members: Callable[[ReplicaKey], Mapping[str, Target]],
        do_members_answer: Callable[[Mapping[str, Target], ReplicaKey], Awaitable[bool]],
        on_answering: Callable[[ReplicaKey], None],
        spawn: Callable[[Coroutine], None],
    ):
        self.clock = clock
        self.open_members = open_members
        self.do_members_answer = do_members_answer
        self.on_answering = on_answering
        self.spawn = spawn
        self._replicas: dict[ReplicaKey, _LostReplica] = {}

    def add(self, key: ReplicaKey, members: Mapping[str, Target], is_reported: bool) -> None:
        """Record a replica that is lost from now on.

        Without any known member its loss is final: nothing would show that it is complete.
        """
        if not members:
            return
        check_s = self.clock.now_s() + FIRST_CHECK_AFTER_S
        self._replicas[key] = _LostReplica(dict(members), check_s, is_reported)
        if len(self._replicas) > MAX_LOST_REPLICAS:
            del self._replicas[next(iter(self._replicas))]

    def note_reported(self, key: ReplicaKey, is_reported: bool) -> None:
        """Record whether the hall leader reports that it avoids a replica."""
        if key in self._replicas:
            self._replicas[key].is_reported = is_reported

    def step(self) -> None:
        """Start to poll the members of the lost replicas that are due."""
        now_s = self.clock.now_s()
        for key, replica in self._replicas.items():
            if replica.is_checking or replica.is_reported or now_s < replica.check_s:
                continue
            replica.check_s = now_s + CHECK_INTERVAL_S
            members = self.open_members(key)
            if members:
                replica.is_checking = True
                self.spawn(self._check(key, replica, {**replica.members, **members}))

    async def _check(
        self, key: ReplicaKey, replica: _LostReplica, members: Mapping[str, Target]
    ) -> None:
        try:
            are_alive = await self.do_members_answer(members, key)
        finally:
            replica.is_checking = False
        is_current = self._replicas.get(key) is replica
        if are_alive and is_current and not replica.is_reported and self.open_members(key):
            del self._replicas[key]
            self.on_answering(key)
