"""Whether this VM may serve, and the VMs that it vouches for.

A vouch is a short lease with which a registered VM lets another VM serve. A VM
may serve while it is registered in the table service or a registered VM
vouches for it, until the lease expires on the VM's own clock. The permission
is checked for each request at admission and again before the request is
forwarded, since the lease may have expired while the process was paused.
"""

import dataclasses
import datetime

from dragonflystack import ids
from dragonflystack.config import _lease


class Permission:
    """Tracks whether this process may serve."""

    def __init__(self, bounds: _lease.Bounds):
        self._bounds = bounds
        self._registered_until: datetime.timedelta | None = None
        self._vouched_until: datetime.timedelta | None = None

    def on_registered(self, sent_at: datetime.timedelta) -> None:
        """Records that a registration or renewal took effect.

        Args:
            sent_at: when the write was sent, on the monotonic clock.
        """
        self._registered_until = sent_at + self._bounds.serving_lease

    def on_registration_lost(self) -> None:
        """Records that the row is missing, ended or of another incarnation."""
        self._registered_until = None

    def on_vouched(self, asked_at: datetime.timedelta) -> None:
        """Records that a registered VM vouches for this one.

        Args:
            asked_at: when the request was sent, on the monotonic clock.
        """
        self._vouched_until = asked_at + self._bounds.vouch_lease

    def stop(self) -> None:
        """Ends the permission; called before the row is withdrawn."""
        self._registered_until = None
        self._vouched_until = None

    def is_registered(self, now: datetime.timedelta) -> bool:
        """Returns whether the registration is valid."""
        until = self._registered_until
        return until is not None and now < until

    def may_serve(self, now: datetime.timedelta) -> bool:
        """Returns whether this process may serve a request now."""
        until = self._vouched_until
        vouched = until is not None and now < until
        return vouched or self.is_registered(now)


@dataclasses.dataclass(frozen=True, slots=True)
class VouchAsked:
    """A VM's request for a vouch or for its renewal."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    version: ids.DocumentVersion
    """The document version that it has in force."""


class VouchAnswer:
    """Base of the replies to a vouch request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Vouched(VouchAnswer):
    """The requester may serve for one vouch lease from its request on."""


@dataclasses.dataclass(frozen=True, slots=True)
class Behind(VouchAnswer):
    """The requester must first adopt this version, available from here."""

    version: ids.DocumentVersion


@dataclasses.dataclass(frozen=True, slots=True)
class NotRegistered(VouchAnswer):
    """The asked VM is not registered and cannot vouch for others."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Dependent:
    version: ids.DocumentVersion
    until: datetime.timedelta


class Vouches:
    """Tracks the VMs that this process vouches for."""

    def __init__(self, bounds: _lease.Bounds):
        self._bounds = bounds
        self._dependents: dict[ids.Incarnation, _Dependent] = {}

    def on_asked(
        self,
        request: VouchAsked,
        own_version: ids.DocumentVersion,
        registered: bool,
        now: datetime.timedelta,
    ) -> VouchAnswer:
        """Vouches for a VM unless its version is behind this process's.

        Args:
            request: the requesting VM and its version.
            own_version: the version that this process has in force.
            registered: whether this process is registered now.
            now: the time on the monotonic clock.
        """
        if not registered:
            return NotRegistered()
        if request.version < own_version:
            return Behind(own_version)
        until = now + self._bounds.observer_wait(self._bounds.vouch_lease)
        self._dependents[request.incarnation] = _Dependent(
            request.version, until
        )
        return Vouched()

    def all_have_version(
        self, version: ids.DocumentVersion, now: datetime.timedelta
    ) -> bool:
        """Returns whether all VMs vouched for have at least this version."""
        self._remove_expired(now)
        return all(d.version >= version for d in self._dependents.values())

    def is_empty(self, now: datetime.timedelta) -> bool:
        """Returns whether no vouch of this process is valid any more."""
        self._remove_expired(now)
        return not self._dependents

    def _remove_expired(self, now: datetime.timedelta) -> None:
        self._dependents = {
            incarnation: dependent
            for incarnation, dependent in self._dependents.items()
            if now < dependent.until
        }
