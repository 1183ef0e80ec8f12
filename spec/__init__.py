"""The specification of the core protocols and its checker."""

from spec._prove import FULL
from spec._prove import QUICK
from spec._prove import Effort
from spec._prove import Finding
from spec._prove import main
from spec._prove import prove

__all__ = ["FULL", "QUICK", "Effort", "Finding", "main", "prove"]
