"""Benchmarks, run with ``python -m benchmarks.NAME``; their results are recorded in docs/."""
