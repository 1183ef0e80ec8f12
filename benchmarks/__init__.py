"""Benchmarks: timings as ratios, and figures of the decisions."""
