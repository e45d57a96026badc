"""Measurements that are run by hand: ``python -m benchmarks.NAME``; figures go to docs/."""
