"""Figures of the product, each by one module that `scripts/bench` runs.

To add a benchmark, add a module `benchmarks/NAME.py` with

    DESCRIPTION = "what it measures, in one line"

    def run(seed: int) -> tuple[figures.Figure, ...]:
        ...one repeat...

and nothing else: `scripts/bench NAME` finds it, runs it several times with
the seeds 0, 1, 2, ... and prints the least, the median and the largest value
of each figure. Work common to all repeats belongs in a cached function. A
module whose name begins with an underscore is no benchmark, and neither is
`figures`.
"""
