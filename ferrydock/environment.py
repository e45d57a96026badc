"""Flags from the environment: ``--some_flag`` is also read from ``FERRYDOCK_SOME_FLAG``."""

from collections.abc import Mapping

from absl import flags

from .outcomes import Fault, Invalid

__all__ = ["apply_environment"]


def apply_environment(values: flags.FlagValues, environment: Mapping[str, str]) -> Invalid | None:
    """Set flags from environment variables unless they were given on the command line.

    Parameters
    ----------
    values : flags.FlagValues
        Parsed flags; they are changed in place.
    environment : mapping of str to str
        Usually ``os.environ``.

    Returns
    -------
    Invalid or None
        A fault for each variable that cannot be parsed; None if there is none.
    """
    faults = []
    for name in values:
        variable = f"FERRYDOCK_{name.upper()}"
        text = environment.get(variable)
        if text is None or values[name].present:
            continue
        try:
            values[name].parse(text)
            values[name].present += 1
        except flags.IllegalFlagValueError as error:
            faults.append(Fault(variable, str(error)))
    return Invalid(tuple(faults)) if faults else None
