"""Decoders for what workers say of themselves: their entries in the store, and their reports.

Stateless. A message is decoded once and as a whole: if one field that the platform names is missing
or has another type, the result is a `Fault` that names it, and nothing of the message is used.
Fields that the platform does not name are ignored. Names of the platform that mislead:
``sequence`` counts a worker's entries in an entry and its orders in a report, ``state`` of an entry
is the worker's and that of its ``group`` the replica's, and ``utilization`` of a report says
whether an order is under way.
"""

from enum import StrEnum
from typing import Any

import msgspec
from msgspec import UNSET, Struct, UnsetType

from ..outcomes import Fault
from ..targets import (
    MAX_COUNT,
    Address,
    Membership,
    ModelNames,
    Name,
    ReplicaState,
    Seconds,
    Target,
    TargetId,
    TargetReport,
)
from ..typed_json import decode

__all__ = ["decode_report", "decode_target"]

MS_PER_S = 1000

# Fields that the entries of workers of models have in common, and no others.
_MODEL_FIELDS = ("models", "domain", "staged", "group")


class WholeNumber(int):
    """A whole number of at least 0, which JSON may write as ``8`` or ``8.0``."""


class WorkerState(StrEnum):
    """State of a worker itself."""

    READY = "ready"
    DRAINING = "draining"


class ModelFields(Struct):
    """A model that a worker holds."""

    name: Name
    version: WholeNumber
    adapters: list[Any]


class GroupFields(Struct):
    """A worker's membership in a group, which is ferrydock's replica."""

    name: Name
    epoch: WholeNumber
    rank: WholeNumber
    state: ReplicaState

    def membership(self) -> Membership:
        """Return the membership in ferrydock's terms."""
        return Membership(self.name, int(self.epoch), int(self.rank), self.state)


class EntryFields(Struct, rename="kebab"):
    """The entry of a worker.

    Workers of models have all fields of `_MODEL_FIELDS`, the others none of them. A worker's
    ``born`` is missing where the platform does not start workers again under their ids.
    """

    service: Name
    address: Address
    zone: Name
    version: str
    slots: WholeNumber
    state: WorkerState
    sequence: WholeNumber
    cold_remaining_ms: Seconds
    born: WholeNumber | UnsetType = UNSET
    phase: str | UnsetType = UNSET
    models: list[ModelFields] | UnsetType = UNSET
    domain: Name | UnsetType = UNSET
    staged: ModelNames | UnsetType = UNSET
    group: GroupFields | None | UnsetType = UNSET

    def __post_init__(self) -> None:
        """Check what concerns several fields, or the size of a number.

        Raises
        ------
        ValueError
            If the worker takes no request, or has only some of the fields of a worker of models.
        """
        if self.slots < 1:
            raise ValueError("`slots` is less than 1")
        missing = [name for name in _MODEL_FIELDS if getattr(self, name) is UNSET]
        if missing and len(missing) < len(_MODEL_FIELDS):
            raise ValueError(f"Object missing required field `{missing[0]}`")


class ReportFields(Struct):
    """The report of a worker."""

    sequence: WholeNumber
    utilization: bool = False
    staged: ModelNames = ()
    group: GroupFields | None = None
    born: WholeNumber | UnsetType = UNSET


def _decode_number(kind: type, value: Any) -> WholeNumber:
    """Decode a `WholeNumber`, the only type here that `msgspec` does not know."""
    is_number = type(value) is int or type(value) is float  # a bool is an int, too
    if not is_number or not 0 <= value <= MAX_COUNT or value != int(value):
        raise ValueError(f"Expected a whole number from 0 to {MAX_COUNT}")
    return WholeNumber(value)


_ENTRY_DECODER = msgspec.json.Decoder(EntryFields, dec_hook=_decode_number)
_REPORT_DECODER = msgspec.json.Decoder(ReportFields, dec_hook=_decode_number)


def decode_target(target_id: str, value: bytes) -> Target | Fault:
    """Decode the entry of a worker.

    Returns
    -------
    Target or Fault
        The target, each field of its declared type; or the first field that is missing or wrong.

    Examples
    --------
    >>> entry = (
    ...     b'{"service":"s","address":"127.0.0.1:80","zone":"h","version":"v1","slots":8,'
    ...     b'"state":"ready","sequence":3,"cold-remaining-ms":0}'
    ... )
    >>> target = decode_target("i-1", entry)
    >>> target.address, target.slots, target.draining, target.age_mark
    ('127.0.0.1:80', 8, False, (0, 3))
    >>> print(decode_target("i-1", entry.replace(b'"h"', b'["h"]')))
    zone: Expected `str`, got `array`
    """
    fields = decode(_ENTRY_DECODER, value)
    if isinstance(fields, Fault):
        return fields
    try:
        msgspec.convert(target_id, TargetId)
    except msgspec.ValidationError:
        return Fault("key", "the id is not printable ASCII without spaces")
    return _target(target_id, fields)


def _target(target_id: str, fields: EntryFields) -> Target:
    return Target(
        target_id=target_id,
        service=fields.service,
        address=fields.address,
        hall=fields.zone,
        slots=int(fields.slots),
        draining=fields.state is WorkerState.DRAINING,
        domain=fields.domain or "",
        staged=fields.staged or (),
        models=tuple(model.name for model in fields.models or ()),
        membership=fields.group.membership() if fields.group else None,
        age_mark=(int(fields.born or 0), int(fields.sequence)),
        cold_for_s=fields.cold_remaining_ms / MS_PER_S,
    )


def decode_report(value: bytes) -> TargetReport | Fault:
    """Decode the report of a worker.

    Returns
    -------
    TargetReport or Fault
        The report; or the first field that is missing or wrong.

    Examples
    --------
    >>> report = decode_report(b'{"sequence":3,"utilization":true,"staged":["large"],"born":7}')
    >>> report.orders, report.is_order_under_way, report.staged, report.incarnation
    (3, True, ('large',), 7)
    """
    fields = decode(_REPORT_DECODER, value)
    if isinstance(fields, Fault):
        return fields
    membership = fields.group.membership() if fields.group else None
    return TargetReport(
        orders=int(fields.sequence),
        replica=membership.replica if membership else None,
        epoch=membership.epoch if membership else 0,
        state=membership.state.value if membership else None,
        is_order_under_way=fields.utilization,
        staged=fields.staged,
        incarnation=int(fields.born or 0),
    )
