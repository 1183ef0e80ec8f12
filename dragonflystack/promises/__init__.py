"""Promises to the operators, and the ledger that shows them as kept."""

from dragonflystack.promises._ledger import Breach
from dragonflystack.promises._ledger import Ledger
from dragonflystack.promises._ledger import PromiseId
from dragonflystack.promises._ledger import PromiseRecord

__all__ = ["Breach", "Ledger", "PromiseId", "PromiseRecord"]
