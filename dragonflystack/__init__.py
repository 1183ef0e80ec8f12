"""Global traffic steering for operators who answer to a regulator.

The daemon `dragonflyd` runs on every entry VM; `dragonfly` is the operators'
command-line client. The decisions live in packages without I/O, so that a
bench or a simulation can drive the code that runs in production.
"""

from dragonflystack import clock
from dragonflystack import ids
from dragonflystack import outcomes

__all__ = ["clock", "ids", "outcomes"]
