"""The configuration document: schema, sections, ownership, acceptance."""

from dragonflystack.config._acceptance import BlockingVm
from dragonflystack.config._acceptance import ReceiptWriter
from dragonflystack.config._acceptance import View
from dragonflystack.config._acceptance import accepted_version
from dragonflystack.config._acceptance import fence
from dragonflystack.config._acceptance import waiting_for
from dragonflystack.config._adoption import Adoption
from dragonflystack.config._change import Change
from dragonflystack.config._change import Decision
from dragonflystack.config._change import Invalid
from dragonflystack.config._change import Nothing
from dragonflystack.config._change import NotOwner
from dragonflystack.config._change import Prepared
from dragonflystack.config._change import ReadRecord
from dragonflystack.config._change import SectionChanged
from dragonflystack.config._change import Settled
from dragonflystack.config._change import Settlement
from dragonflystack.config._change import decode_head
from dragonflystack.config._change import diff
from dragonflystack.config._change import make_first
from dragonflystack.config._change import prepare
from dragonflystack.config._document import BackendServer
from dragonflystack.config._document import Clients
from dragonflystack.config._document import Document
from dragonflystack.config._document import FailureDomain
from dragonflystack.config._document import Fleet
from dragonflystack.config._document import InvalidDocumentError
from dragonflystack.config._document import LinkBudget
from dragonflystack.config._document import Priority
from dragonflystack.config._document import Region
from dragonflystack.config._document import Service
from dragonflystack.config._document import ShiftCap
from dragonflystack.config._document import Site
from dragonflystack.config._document import Topology
from dragonflystack.config._document import decode_document
from dragonflystack.config._document import encode_document
from dragonflystack.config._lease import Bounds
from dragonflystack.config._lease import RoleKeeper
from dragonflystack.config._lease import decode_role
from dragonflystack.config._registration import PlannedTransaction
from dragonflystack.config._registration import Registration
from dragonflystack.config._rows import CONFIGURATION
from dragonflystack.config._rows import HEAD
from dragonflystack.config._rows import RECEIPT
from dragonflystack.config._rows import ROLE
from dragonflystack.config._rows import SERVING
from dragonflystack.config._rows import ChangeRecord
from dragonflystack.config._rows import Confirmation
from dragonflystack.config._rows import Head
from dragonflystack.config._rows import Receipt
from dragonflystack.config._rows import Role
from dragonflystack.config._rows import RowWrite
from dragonflystack.config._rows import Section
from dragonflystack.config._rows import Serving
from dragonflystack.config._rows import StoredRow
from dragonflystack.config._sections import asked_owner
from dragonflystack.config._sections import digest_of
from dragonflystack.config._sections import join
from dragonflystack.config._sections import owner
from dragonflystack.config._sections import split
from dragonflystack.config._serving import Behind
from dragonflystack.config._serving import NotRegistered
from dragonflystack.config._serving import Permission
from dragonflystack.config._serving import VouchAnswer
from dragonflystack.config._serving import VouchAsked
from dragonflystack.config._serving import Vouched
from dragonflystack.config._serving import Vouches

__all__ = [
    "Adoption",
    "BackendServer",
    "Behind",
    "BlockingVm",
    "Bounds",
    "CONFIGURATION",
    "Change",
    "ChangeRecord",
    "Clients",
    "Confirmation",
    "Decision",
    "Document",
    "FailureDomain",
    "Fleet",
    "HEAD",
    "Head",
    "Invalid",
    "InvalidDocumentError",
    "LinkBudget",
    "NotOwner",
    "NotRegistered",
    "Nothing",
    "Permission",
    "PlannedTransaction",
    "Prepared",
    "Priority",
    "RECEIPT",
    "ROLE",
    "ReadRecord",
    "Receipt",
    "ReceiptWriter",
    "Region",
    "Registration",
    "Role",
    "RoleKeeper",
    "RowWrite",
    "SERVING",
    "Section",
    "SectionChanged",
    "Service",
    "Serving",
    "Settled",
    "Settlement",
    "ShiftCap",
    "Site",
    "StoredRow",
    "Topology",
    "View",
    "VouchAnswer",
    "VouchAsked",
    "Vouched",
    "Vouches",
    "accepted_version",
    "asked_owner",
    "decode_document",
    "decode_head",
    "decode_role",
    "diff",
    "digest_of",
    "encode_document",
    "fence",
    "join",
    "make_first",
    "owner",
    "prepare",
    "split",
    "waiting_for",
]
