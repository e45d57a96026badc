"""Reading evacuations in the transaction that confirms the configuration."""

import asyncio
import socket

import orjson
import pytest

from ...configuration import Configuration, ConfigurationUnchanged
from ...outcomes import Unavailable
from ...store import Compare, MemoryStore, Txn
from .._configuration import PlatformConfigurationSource
from .._store import PlatformStore
from .._store_messages import decode_refused, encode_txn

EMPTY = orjson.dumps({"version": 1, "routes": [], "services": []})


class RecordingStore(MemoryStore):
    """Records the transactions, and reports the era as of the latest answer, as the client does."""

    __slots__ = ("fails_at", "sent")

    def __init__(self):
        super().__init__()
        self.sent = []
        self.fails_at = 0

    async def transact(self, txn, is_on_new_connection=False):
        self.sent.append(encode_txn(txn))
        if len(self.sent) == self.fails_at:
            return Unavailable("no answer")
        return await super().transact(txn)


def read(source):
    return asyncio.run(source.read())


def test_without_evacuations_the_transaction_has_the_configuration_alone():
    store = RecordingStore()
    store.put("op/config", EMPTY)
    store.put("op/evacuate/a", b"{}")
    found = read(PlatformConfigurationSource(store))
    condition = {"key": "op/config", "revision": 0}
    assert store.sent == [{"expected-revision": [condition], "writes": [], "remove": []}]
    assert found.evacuated_halls is None


def test_a_change_of_an_evacuation_alone_still_confirms_the_configuration():
    store = RecordingStore()
    store.put("op/config", EMPTY)
    source = PlatformConfigurationSource(store, ("a", "b"))
    assert isinstance(read(source).result, Configuration)
    store.put("op/evacuate/b", b"{}")
    for evacuated in ({"b"}, {"b"}, set(), set()):
        if not evacuated:
            store.remove("op/evacuate/b")
        found = read(source)
        assert isinstance(found.result, ConfigurationUnchanged)
        assert found.evacuated_halls == evacuated
        assert found.store_position.revision == store.revision
        assert found.written_position.revision == 2
    assert len(store.sent) == 5, "one transaction for each read"


@pytest.mark.parametrize("is_restored_first", [False, True])
def test_revisions_of_evacuations_do_not_count_in_the_next_era(is_restored_first):
    store = RecordingStore()
    store.put("op/config", EMPTY)
    copy = store.copy()
    source = PlatformConfigurationSource(store, ("a",))
    store.put("op/evacuate/a", b"{}")
    if not is_restored_first:
        assert read(source).evacuated_halls == {"a"}
    store.come_back_older(copy)
    assert read(source).evacuated_halls == set()
    assert {row["revision"] for row in store.sent[-1]["expected-revision"]} == {0}
    store.put("op/evacuate/a", b"{}")  # with the revision that the lost one had
    assert read(source).evacuated_halls == {"a"}


def test_the_keys_of_many_halls_are_read_by_further_transactions():
    store = RecordingStore()
    store.put("op/config", EMPTY)
    halls = [f"h{number}" for number in range(64)]
    source = PlatformConfigurationSource(store, halls)
    for hall in (halls[0], halls[63]):
        store.put(f"op/evacuate/{hall}", b"{}")
    assert read(source).evacuated_halls == {halls[0], halls[63]}
    assert [len(txn["expected-revision"]) for txn in store.sent] == [32, 1, 32]
    store.put("op/config", EMPTY)
    store.fails_at = len(store.sent) + 1
    assert isinstance(read(source), Unavailable)
    assert isinstance(read(source).result, Configuration), "not lost with the failed read"


class ChangingStore(RecordingStore):
    """Changes between the two transactions of the second read."""

    __slots__ = ("change",)

    async def transact(self, txn, is_on_new_connection=False):
        done = await super().transact(txn)
        if len(self.sent) == 3:
            self.change()
        return done


def test_the_evacuations_of_many_halls_are_complete_to_the_first_transaction_only():
    """Failure: a report of the hall that was evacuated in between counts as older than the read."""
    store = ChangingStore()
    store.put("op/config", EMPTY)
    halls = [f"h{number}" for number in range(40)]
    source = PlatformConfigurationSource(store, halls)
    assert read(source).evacuated_halls == set()
    store.change = lambda: store.put("op/evacuate/h39", b"{}")
    found = read(source)
    assert found.evacuated_halls == set()
    assert found.store_position.revision == store.revision - 1
    assert read(source).evacuated_halls == {"h39"}


def test_transactions_in_two_eras_are_no_read():
    store = ChangingStore()
    store.put("op/config", EMPTY)
    source = PlatformConfigurationSource(store, [f"h{number}" for number in range(40)])
    assert read(source).evacuated_halls == set()
    store.change = lambda: store.come_back_older(store.copy())
    assert isinstance(read(source), Unavailable)
    assert read(source).store_position.era == 1


def test_an_absent_key_may_be_omitted_or_listed_with_revision_0():
    entry = {"key": "k", "value": "", "revision": 4, "created": 4}
    refused = decode_refused({"entries": [entry, {"key": "n", "revision": 0}]}, ("k", "n", "o"))
    assert [item and item.mod_revision for item in refused.reads] == [4, None, None]


def test_reads_of_evacuations_are_counted_as_reads_of_the_configuration():
    """Failure: the further transactions of a site with many halls are counted as its lease's."""

    async def scenario():
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))  # refuses connections: each call fails and is counted
            store = PlatformStore(f"127.0.0.1:{unused.getsockname()[1]}")
            for key in ("op/config", "op/evacuate/a"):
                await store.transact(Txn((Compare(key, 0),), (), (key,)))
            await store.close()
        return store.call_counts.by_caller

    counts = asyncio.run(scenario())
    assert {caller for _, caller, _ in counts} == {"configuration"}
    assert sum(counts.values()) == 2
