"""Output lines of benchmarks: measured figures and checks."""

from ferrydock.logs import format_event

__all__ = ["print_check", "print_row"]

_COMPARISONS = {"<=": lambda a, b: a <= b, ">=": lambda a, b: a >= b, "==": lambda a, b: a == b}


def print_row(benchmark: str, **fields) -> None:
    """Print one line of figures."""
    print(format_event("measured", benchmark=benchmark, **fields), flush=True)


def print_check(benchmark: str, figure: str, value: float, wanted: str) -> bool:
    """Print whether a measured figure meets a bound such as ``<=0.35``; return the result."""
    sign, bound = wanted[:2], float(wanted[2:])
    met = _COMPARISONS[sign](value, bound)
    word = "yes" if met else "no"
    print(
        f"check benchmark={benchmark} figure={figure} value={value:.4g} "
        f"wanted='{wanted}' met={word}",
        flush=True,
    )
    return met
