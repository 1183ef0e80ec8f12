"""A randomised soak of the entry daemon as processes, with faults from outside.

`scripts/faultsoak --seed 7 --seconds 40` starts a small fleet of entry VMs on
loopback addresses, with stand-ins of the platform, sends requests to it, and
stops, kills, pauses and cuts what the seed says. At the end it compares what
callers were told with what backend servers ran.
"""

from faultsoak._checks import Bounds
from faultsoak._checks import Violation
from faultsoak._checks import check
from faultsoak._plan import Action
from faultsoak._plan import Fault
from faultsoak._plan import make_plan
from faultsoak._record import Attempt
from faultsoak._record import Ending
from faultsoak._record import Record
from faultsoak._run import Report
from faultsoak._run import Settings
from faultsoak._run import run

__all__ = [
    "Action",
    "Attempt",
    "Bounds",
    "Ending",
    "Fault",
    "Record",
    "Report",
    "Settings",
    "Violation",
    "check",
    "make_plan",
    "run",
]
