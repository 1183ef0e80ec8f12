"""Steering: client blocks, target shares, the walk, look-up answers."""

from dragonflystack.steering._budget import Budget
from dragonflystack.steering._inputs import Capacity
from dragonflystack.steering._inputs import Demand
from dragonflystack.steering._inputs import Measurements
from dragonflystack.steering._inputs import Policy
from dragonflystack.steering._shares import Cell
from dragonflystack.steering._shares import Shares
from dragonflystack.steering._shares import distance
from dragonflystack.steering._shares import gain
from dragonflystack.steering._summary import ALONE
from dragonflystack.steering._summary import CellSummary
from dragonflystack.steering._summary import PeerView
from dragonflystack.steering._summary import merge_cells
from dragonflystack.steering._targets import compute_targets
from dragonflystack.steering._walk import CellStatus
from dragonflystack.steering._walk import Walker

__all__ = [
    "ALONE",
    "Budget",
    "Capacity",
    "Cell",
    "CellStatus",
    "CellSummary",
    "Demand",
    "Measurements",
    "PeerView",
    "Policy",
    "Shares",
    "Walker",
    "compute_targets",
    "distance",
    "gain",
    "merge_cells",
]
