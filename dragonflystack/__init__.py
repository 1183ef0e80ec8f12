"""Global traffic steering for operators who answer to a regulator.

The daemon `dragonflyd` runs on every entry VM; `dragonfly` is the operators'
command-line client. The decision logic is in packages without I/O, so that
benchmarks and simulations can run the production code.
"""

from dragonflystack import clock
from dragonflystack import ids
from dragonflystack import outcomes

__all__ = ["clock", "ids", "outcomes"]
