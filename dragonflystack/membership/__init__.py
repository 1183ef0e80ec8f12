"""Membership of the entry VMs and the exchange of control data among them.

    node = membership.Node(me, cfg, membership.View(view_cfg), rng, now)
    for action in node.on_listing(vms, now):
        ...  # an `Ask` goes to another daemon, a `ReadHead` to the store

The daemon passes what it receives to the `on_x` methods and carries out the
actions that they return. docs/design/membership.md explains the design.
"""

from dragonflystack.membership._actions import Action
from dragonflystack.membership._actions import Adopt
from dragonflystack.membership._actions import Answer
from dragonflystack.membership._actions import Ask
from dragonflystack.membership._actions import ReadHead
from dragonflystack.membership._actions import ReadListing
from dragonflystack.membership._actions import RecordAcknowledgements
from dragonflystack.membership._load import Flow
from dragonflystack.membership._load import Loads
from dragonflystack.membership._load import LoadSum
from dragonflystack.membership._load import RegionLoad
from dragonflystack.membership._load import ServiceLoad
from dragonflystack.membership._load import from_code
from dragonflystack.membership._load import to_code
from dragonflystack.membership._messages import Acknowledgement
from dragonflystack.membership._messages import Request
from dragonflystack.membership._messages import Response
from dragonflystack.membership._messages import RosterDigest
from dragonflystack.membership._messages import Update
from dragonflystack.membership._node import Node
from dragonflystack.membership._overlay import RELAYS_PER_DOMAIN
from dragonflystack.membership._overlay import Overlay
from dragonflystack.membership._overlay import Position
from dragonflystack.membership._settings import NodeSettings
from dragonflystack.membership._vms import Listing
from dragonflystack.membership._vms import Roster
from dragonflystack.membership._vms import View
from dragonflystack.membership._vms import ViewSettings
from dragonflystack.membership._vms import Vm
from dragonflystack.membership._vms import VmState

__all__ = [
    "RELAYS_PER_DOMAIN",
    "Acknowledgement",
    "Action",
    "Adopt",
    "Answer",
    "Ask",
    "Flow",
    "Listing",
    "LoadSum",
    "Loads",
    "Node",
    "NodeSettings",
    "Overlay",
    "Position",
    "ReadHead",
    "ReadListing",
    "RecordAcknowledgements",
    "RegionLoad",
    "Request",
    "Response",
    "Roster",
    "RosterDigest",
    "ServiceLoad",
    "Update",
    "View",
    "ViewSettings",
    "Vm",
    "VmState",
    "from_code",
    "to_code",
]
