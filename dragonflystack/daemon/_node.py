"""What one daemon knows: its settings, its document, the VMs it sees."""

from collections.abc import Callable
import dataclasses
import random
from typing import Any

import anyio
import msgspec

from dragonflystack import clock
from dragonflystack import config
from dragonflystack import ids
from dragonflystack import promises
from dragonflystack import steering
from dragonflystack import storage
from dragonflystack.daemon import _metrics
from dragonflystack.daemon import _peer_tls
from dragonflystack.daemon import _settings


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """A VM as it registered itself in the table service."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    failure_domain: ids.FailureDomainId
    callers: _settings.Address
    daemons: _settings.Address
    version: ids.DocumentVersion
    """The document version that it has in force."""

    key_prefix: str = ""
    """What keys for requests to it begin with."""

    leaving: bool = False


@dataclasses.dataclass
class Node:
    """The state of one daemon."""

    settings: _settings.Settings
    incarnation: ids.Incarnation
    clock: clock.Clock
    rng: random.Random
    platform: storage.HttpPlatform
    ledger: promises.Ledger
    metrics: _metrics.Metrics
    tls: _peer_tls.PeerTls | None = None
    """The keys shown to other daemons, None to speak without encryption."""

    document: config.Document | None = None
    version: ids.DocumentVersion = ids.DocumentVersion(0)
    members: dict[ids.VmId, Member] = dataclasses.field(default_factory=dict)
    stop_requested: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    """Set by a signal or an operator: the VM is to leave and stop."""

    leaving: bool = False
    """Whether this VM is stopping."""

    dump_sources: dict[str, Callable[[], Any]] = dataclasses.field(
        default_factory=dict
    )
    """Parts of the dump that other modules add, by name."""

    steering_state: steering.Steering | None = None
    """Decides the answers to look-ups; None before the first document."""

    steering_report: steering.Report | None = None
    """What to tell the other VMs for steering."""

    may_serve: Callable[[], bool] = lambda: False
    """Whether a request of a caller may be decided now."""

    in_flight: int = 0
    """Requests of callers and other VMs that have no answer yet."""

    key_prefix: str = ""
    """What keys for requests to this VM begin with."""

    @property
    def vm(self) -> ids.VmId:
        """This VM."""
        return self.settings.vm

    @property
    def region(self) -> ids.RegionId | None:
        """This VM's region, None until a document names its failure domain."""
        if self.document is None:
            return None
        return self.document.region_of.get(self.settings.failure_domain)

    def member(self) -> Member:
        """Returns this VM as the others see it."""
        return Member(
            vm=self.vm,
            incarnation=self.incarnation,
            failure_domain=self.settings.failure_domain,
            callers=self.settings.callers,
            daemons=self.settings.daemons,
            version=self.version,
            key_prefix=self.key_prefix,
            leaving=self.leaving,
        )
