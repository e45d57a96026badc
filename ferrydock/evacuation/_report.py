"""The report about evacuated halls that daemons send each other, and its form on the wire.

Field names are part of the wire format: daemons of two versions run side by side during an
upgrade, so a field is never renamed.
"""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from ..store import Position
from ..typed_json import Number

__all__ = ["EvacuationReport", "decode_evacuation_report"]


@dataclass(frozen=True, slots=True)
class EvacuationReport:
    """The evacuated halls that a daemon knows.

    Attributes
    ----------
    closes_in_s : mapping of str to float
        Seconds, as of the report, until each evacuated hall closes; 0 if it is closed.
    position : Position
        Position of the store that the report reflects.
    age_s : float
        Seconds since the halls were last confirmed by the store.
    """

    closes_in_s: Mapping[str, float]
    position: Position
    age_s: float

    def encode(self) -> dict:
        """Return the report as the fields of a message.

        Examples
        --------
        >>> report = EvacuationReport({"hall-a": 3.5}, Position(1, 7), 0.25)
        >>> report.encode()
        {'halls': {'hall-a': 3.5}, 'position': [1, 7], 'age_s': 0.25}
        >>> decode_evacuation_report(report.encode()) == report
        True
        """
        position = [self.position.era, self.position.revision]
        return {"halls": dict(self.closes_in_s), "position": position, "age_s": self.age_s}


@dataclass(frozen=True, slots=True)
class _Fields:
    """The report as the fields of a message."""

    halls: dict[str, float]
    position: tuple[Number, Number]
    age_s: float


def decode_evacuation_report(fields) -> EvacuationReport | None:
    """Decode a report; None if the message has none.

    Raises
    ------
    ValueError
        If the fields are not a valid report.
    """
    if fields is None:
        return None
    report = msgspec.convert(fields, _Fields)
    return EvacuationReport(report.halls, Position(*report.position), report.age_s)
