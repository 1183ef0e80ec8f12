"""Actions that a node of the tree returns for the daemon to carry out."""

import dataclasses
from typing import TypeAlias

from dragonflystack import ids
from dragonflystack.membership import _messages
from dragonflystack.membership import _vms


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Send a request to another VM.

    The daemon passes the result to `Node.on_response` or
    `Node.on_no_response`.
    """

    number: int
    """Identifies the request; the daemon passes it back with the result."""

    to: _vms.Vm
    request: _messages.Request


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Send the response to a request that was held open."""

    call: int
    """The call number that the daemon passed to `Node.on_request`."""

    response: _messages.Response


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the head, the newest version of the document, from the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadListing:
    """Read the platform's VM list."""


@dataclasses.dataclass(frozen=True, slots=True)
class Adopt:
    """Put a newer version of the document in force."""

    version: ids.DocumentVersion
    updates: tuple[_messages.Update, ...]
    """The changes up to the version; empty if it has to be read whole."""

    source: _vms.Vm | None
    """The VM that sent the version; None if it was read from the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class RecordAcknowledgements:
    """Write to the store which runs have which version in force."""

    failure_domain: ids.FailureDomainId
    acknowledgements: tuple[_messages.Acknowledgement, ...]


Action: TypeAlias = (
    Ask | Answer | ReadHead | ReadListing | Adopt | RecordAcknowledgements
)
