"""Routing decisions of an entry VM that serves callers of a platform.

`EntryVm` is the entry point. An I/O shell, a benchmark or a test reports events
to it and carries out the steps it returns:

    vm = entry.EntryVm(members, regions, bounds, settings, rng)
    vm.on_catalogue(catalogue)
    vm.on_listing(listing, position, now)
    exchange, step = vm.open(request, now)
    # -> Send(server, time_left, answer_timeout)
    exchange.on_result(entry.Answered(200), now)
    # -> Deliver()

This package does no I/O and reads no clock. Instants are passed in as `now`,
measured from the origin of the process's monotonic clock.
"""

from dragonflystack.entry._access import Access
from dragonflystack.entry._access import Denial
from dragonflystack.entry._catalogue import CallerLimits
from dragonflystack.entry._catalogue import Catalogue
from dragonflystack.entry._catalogue import Destination
from dragonflystack.entry._catalogue import InvalidCatalogueError
from dragonflystack.entry._catalogue import Route
from dragonflystack.entry._catalogue import RouteId
from dragonflystack.entry._catalogue import ServicePolicy
from dragonflystack.entry._choice import Candidate
from dragonflystack.entry._choice import Requirements
from dragonflystack.entry._customers import Customer
from dragonflystack.entry._customers import InvalidCustomerError
from dragonflystack.entry._customers import KeyDigest
from dragonflystack.entry._customers import digest_key
from dragonflystack.entry._departures import Departure
from dragonflystack.entry._discovery import REREGISTRATION_GRACE
from dragonflystack.entry._discovery import Listing
from dragonflystack.entry._discovery import ServerChanges
from dragonflystack.entry._exchange import Exchange
from dragonflystack.entry._members import HEARTBEAT_EVERY
from dragonflystack.entry._members import Heartbeat
from dragonflystack.entry._members import Member
from dragonflystack.entry._members import Members
from dragonflystack.entry._members import Phase
from dragonflystack.entry._members import UnknownVmError
from dragonflystack.entry._members import VmAddress
from dragonflystack.entry._messages import Answered
from dragonflystack.entry._messages import Broken
from dragonflystack.entry._messages import CallerGone
from dragonflystack.entry._messages import ConnectFailed
from dragonflystack.entry._messages import Deliver
from dragonflystack.entry._messages import Drop
from dragonflystack.entry._messages import Fail
from dragonflystack.entry._messages import Reason
from dragonflystack.entry._messages import Reject
from dragonflystack.entry._messages import Request
from dragonflystack.entry._messages import Result
from dragonflystack.entry._messages import Send
from dragonflystack.entry._messages import SendRecord
from dragonflystack.entry._messages import Silent
from dragonflystack.entry._messages import Step
from dragonflystack.entry._messages import Unauthorized
from dragonflystack.entry._messages import Unknown
from dragonflystack.entry._messages import Wait
from dragonflystack.entry._messages import Withdrawn
from dragonflystack.entry._quarantine import QuarantineReport
from dragonflystack.entry._replication import Position
from dragonflystack.entry._replication import ReplicatedChanges
from dragonflystack.entry._replication import Stream
from dragonflystack.entry._replication import Table
from dragonflystack.entry._servers import Load
from dragonflystack.entry._servers import Server
from dragonflystack.entry._servers import ServerEntry
from dragonflystack.entry._settings import ChoiceSettings
from dragonflystack.entry._settings import FleetBounds
from dragonflystack.entry._store_versions import era_of
from dragonflystack.entry._store_versions import number_of
from dragonflystack.entry._store_versions import store_version
from dragonflystack.entry._vm import EntryVm

__all__ = [
    "HEARTBEAT_EVERY",
    "Access",
    "Answered",
    "Broken",
    "CallerGone",
    "CallerLimits",
    "Candidate",
    "Catalogue",
    "ServerChanges",
    "ChoiceSettings",
    "ConnectFailed",
    "Customer",
    "Deliver",
    "Denial",
    "Departure",
    "Destination",
    "Drop",
    "EntryVm",
    "Exchange",
    "Fail",
    "FleetBounds",
    "Heartbeat",
    "InvalidCatalogueError",
    "InvalidCustomerError",
    "KeyDigest",
    "Listing",
    "REREGISTRATION_GRACE",
    "Load",
    "Member",
    "Members",
    "ReplicatedChanges",
    "Stream",
    "Phase",
    "Position",
    "QuarantineReport",
    "Reason",
    "Reject",
    "Request",
    "Result",
    "Route",
    "RouteId",
    "Send",
    "SendRecord",
    "Server",
    "ServerEntry",
    "ServicePolicy",
    "Silent",
    "Step",
    "Table",
    "Unauthorized",
    "Unknown",
    "UnknownVmError",
    "VmAddress",
    "Wait",
    "Requirements",
    "Withdrawn",
    "digest_key",
    "era_of",
    "number_of",
    "store_version",
]
