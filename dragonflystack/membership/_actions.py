"""What a node of the tree asks the daemon to do."""

import dataclasses
from typing import TypeAlias

from dragonflystack import ids
from dragonflystack.membership import _messages
from dragonflystack.membership import _vms


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Send a request; report the response or that there was none."""

    number: int
    """Comes back with the response."""

    to: _vms.Vm
    request: _messages.Request


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer the request of a VM that has been held open."""

    call: int
    """The number that came with the request."""

    response: _messages.Response


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the version of the document from the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadListing:
    """Read the platform's VM list."""


@dataclasses.dataclass(frozen=True, slots=True)
class Adopt:
    """A newer version of the document exists: put it in force."""

    version: ids.DocumentVersion
    updates: tuple[_messages.Update, ...]
    """The changes up to it, or none if it has to be read whole."""

    source: _vms.Vm | None
    """The VM that told of it, or None if the store did."""


@dataclasses.dataclass(frozen=True, slots=True)
class RecordAcknowledgements:
    """Write to the store who has which version in force."""

    failure_domain: ids.FailureDomainId
    acknowledgements: tuple[_messages.Acknowledgement, ...]


Action: TypeAlias = (
    Ask | Answer | ReadHead | ReadListing | Adopt | RecordAcknowledgements
)
