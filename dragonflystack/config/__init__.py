"""The configuration document: its schema, sections, owners and receipts."""

from dragonflystack.config._document import BackendServer
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

__all__ = [
    "BackendServer",
    "Document",
    "FailureDomain",
    "Fleet",
    "InvalidDocumentError",
    "LinkBudget",
    "Priority",
    "Region",
    "Service",
    "ShiftCap",
    "Site",
    "Topology",
    "decode_document",
    "encode_document",
]
