"""Steering: client blocks, target shares, the walk, look-up answers."""

from dragonflystack.steering._addresses import Block
from dragonflystack.steering._addresses import Family
from dragonflystack.steering._addresses import InvalidAddressError
from dragonflystack.steering._addresses import InvalidBlockError
from dragonflystack.steering._addresses import parse_address
from dragonflystack.steering._answers import Answer
from dragonflystack.steering._answers import AnswerTable
from dragonflystack.steering._answers import EntryVm
from dragonflystack.steering._answers import RankedVm
from dragonflystack.steering._answers import Ranking
from dragonflystack.steering._answers import Refusal
from dragonflystack.steering._answers import SlotsOwned
from dragonflystack.steering._block_table import BlockTable
from dragonflystack.steering._block_table import BlockTableLoader
from dragonflystack.steering._budget import MAX_PEER_AGE
from dragonflystack.steering._budget import Budget
from dragonflystack.steering._chunks import InvalidChunkError
from dragonflystack.steering._chunks import decode_chunk
from dragonflystack.steering._chunks import digest_of
from dragonflystack.steering._chunks import pack_blocks
from dragonflystack.steering._inputs import Capacity
from dragonflystack.steering._inputs import Demand
from dragonflystack.steering._inputs import Measurements
from dragonflystack.steering._inputs import Policy
from dragonflystack.steering._meters import NO_LOAD
from dragonflystack.steering._meters import DemandMeter
from dragonflystack.steering._meters import Load
from dragonflystack.steering._report import EMPTY_REPORT
from dragonflystack.steering._report import InvalidReportError
from dragonflystack.steering._report import OwnedCapacity
from dragonflystack.steering._report import Report
from dragonflystack.steering._report import decode_report
from dragonflystack.steering._report import encode_report
from dragonflystack.steering._report import to_measurements
from dragonflystack.steering._shares import Cell
from dragonflystack.steering._shares import Shares
from dragonflystack.steering._shares import gain
from dragonflystack.steering._shares import total_variation
from dragonflystack.steering._steering import Steering
from dragonflystack.steering._summary import ALONE
from dragonflystack.steering._summary import CellSummary
from dragonflystack.steering._summary import PeerView
from dragonflystack.steering._summary import merge_all_cells
from dragonflystack.steering._summary import merge_cells
from dragonflystack.steering._targets import compute_targets
from dragonflystack.steering._walk import CellStatus
from dragonflystack.steering._walk import TrafficShifter

__all__ = [
    "ALONE",
    "Answer",
    "AnswerTable",
    "Block",
    "BlockTable",
    "Budget",
    "Capacity",
    "Cell",
    "CellStatus",
    "CellSummary",
    "Demand",
    "DemandMeter",
    "EMPTY_REPORT",
    "EntryVm",
    "Family",
    "InvalidAddressError",
    "InvalidBlockError",
    "InvalidChunkError",
    "InvalidReportError",
    "Load",
    "Measurements",
    "NO_LOAD",
    "OwnedCapacity",
    "MAX_PEER_AGE",
    "PeerView",
    "Policy",
    "RankedVm",
    "Ranking",
    "Refusal",
    "Report",
    "Shares",
    "SlotsOwned",
    "Steering",
    "BlockTableLoader",
    "TrafficShifter",
    "compute_targets",
    "decode_chunk",
    "decode_report",
    "digest_of",
    "total_variation",
    "encode_report",
    "gain",
    "merge_all_cells",
    "merge_cells",
    "pack_blocks",
    "parse_address",
    "to_measurements",
]
