"""Promises to the operators, and counters that show whether they hold."""

from dragonflystack.promises._ledger import Breach
from dragonflystack.promises._ledger import BrokenPromiseError
from dragonflystack.promises._ledger import Ledger
from dragonflystack.promises._ledger import PromiseId
from dragonflystack.promises._ledger import PromiseRecord
from dragonflystack.promises._report import Report
from dragonflystack.promises._report import ReportedBreach
from dragonflystack.promises._report import ReportedPromise
from dragonflystack.promises._report import make_report
from dragonflystack.promises._report import merge

__all__ = [
    "Breach",
    "BrokenPromiseError",
    "Ledger",
    "PromiseId",
    "PromiseRecord",
    "Report",
    "ReportedBreach",
    "ReportedPromise",
    "make_report",
    "merge",
]
