"""Interfaces to the table service, the object store and the VM list."""

from dragonflystack.storage._http import CONNECT_ERRORS
from dragonflystack.storage._http import LOST_ANSWER_ERRORS
from dragonflystack.storage._http import HttpPlatform
from dragonflystack.storage._http import failure
from dragonflystack.storage._http import plain_failure
from dragonflystack.storage._http import status_failure
from dragonflystack.storage._ports import Committed
from dragonflystack.storage._ports import Conflict
from dragonflystack.storage._ports import ListedVm
from dragonflystack.storage._ports import ObjectStore
from dragonflystack.storage._ports import Row
from dragonflystack.storage._ports import TableService
from dragonflystack.storage._ports import Unavailable
from dragonflystack.storage._ports import Unsure
from dragonflystack.storage._ports import VmList
from dragonflystack.storage._ports import VmState
from dragonflystack.storage._ports import Write
from dragonflystack.storage._ports import WriteResult

__all__ = [
    "CONNECT_ERRORS",
    "LOST_ANSWER_ERRORS",
    "failure",
    "plain_failure",
    "status_failure",
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
