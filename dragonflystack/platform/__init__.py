"""Ports to the table service, the object store and the VM list."""

from dragonflystack.platform._http import HttpPlatform
from dragonflystack.platform._ports import Committed
from dragonflystack.platform._ports import Conflict
from dragonflystack.platform._ports import ListedVm
from dragonflystack.platform._ports import ObjectStore
from dragonflystack.platform._ports import Row
from dragonflystack.platform._ports import TableService
from dragonflystack.platform._ports import Unavailable
from dragonflystack.platform._ports import Unsure
from dragonflystack.platform._ports import VmList
from dragonflystack.platform._ports import VmState
from dragonflystack.platform._ports import Write
from dragonflystack.platform._ports import WriteResult

__all__ = [
    "Committed",
    "Conflict",
    "HttpPlatform",
    "ListedVm",
    "ObjectStore",
    "Row",
    "TableService",
    "Unavailable",
    "Unsure",
    "VmList",
    "VmState",
    "Write",
    "WriteResult",
]
