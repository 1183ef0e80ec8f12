"""Whether this VM may serve, and for whom it vouches.

A VM serves while it is registered in the table service or vouched for by a
registered VM, each for as long as its lease lasts on the VM's own clock. The
permission is looked up for each request, when it is admitted and again before
it is sent on: a process that was paused finds its lease over.
"""

import dataclasses
import datetime

from dragonflystack import ids
from dragonflystack.config import _lease


class Permission:
    """Whether this process may serve."""

    def __init__(self, bounds: _lease.Bounds):
        self._bounds = bounds
        self._registered_until: datetime.timedelta | None = None
        self._vouched_until: datetime.timedelta | None = None

    def on_registered(self, sent_at: datetime.timedelta) -> None:
        """Takes note that a registration or renewal took effect.

        Args:
            sent_at: when the write was sent, on the monotonic clock.
        """
        self._registered_until = sent_at + self._bounds.serving_lease

    def on_registration_lost(self) -> None:
        """Takes note that the row is gone, counted out or another's."""
        self._registered_until = None

    def on_vouched(self, asked_at: datetime.timedelta) -> None:
        """Takes note that a registered VM vouches for this one.

        Args:
            asked_at: when the request was sent, on the monotonic clock.
        """
        self._vouched_until = asked_at + self._bounds.vouch_lease

    def stop(self) -> None:
        """Ends the permission for good, before the row is withdrawn."""
        self._registered_until = None
        self._vouched_until = None

    def is_registered(self, now: datetime.timedelta) -> bool:
        """Returns whether the registration is in force."""
        until = self._registered_until
        return until is not None and now < until

    def may_serve(self, now: datetime.timedelta) -> bool:
        """Returns whether a request may be decided now."""
        until = self._vouched_until
        vouched = until is not None and now < until
        return vouched or self.is_registered(now)


@dataclasses.dataclass(frozen=True, slots=True)
class VouchAsked:
    """A VM asks to be vouched for, at first and to renew."""

    vm: ids.VmId
    incarnation: ids.Incarnation
    version: ids.DocumentVersion
    """The document version that it has in force."""


class VouchAnswer:
    """What a VM that is asked to vouch answers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Vouched(VouchAnswer):
    """The asker may serve for the vouch lease from when it asked."""


@dataclasses.dataclass(frozen=True, slots=True)
class Behind(VouchAnswer):
    """The asker must first adopt this version, which it can fetch here."""

    version: ids.DocumentVersion


@dataclasses.dataclass(frozen=True, slots=True)
class NotRegistered(VouchAnswer):
    """This VM is not registered and can vouch for nobody."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Dependent:
    version: ids.DocumentVersion
    until: datetime.timedelta


class Vouches:
    """The VMs that this process vouches for."""

    def __init__(self, bounds: _lease.Bounds):
        self._bounds = bounds
        self._dependents: dict[ids.Incarnation, _Dependent] = {}

    def on_asked(
        self,
        asked: VouchAsked,
        own_version: ids.DocumentVersion,
        registered: bool,
        now: datetime.timedelta,
    ) -> VouchAnswer:
        """Vouches for a VM unless it is behind.

        Args:
            asked: who asks.
            own_version: the version that this process has in force.
            registered: whether this process is registered now.
            now: the time on the monotonic clock.
        """
        if not registered:
            return NotRegistered()
        if asked.version < own_version:
            return Behind(own_version)
        until = now + self._bounds.wait_out(self._bounds.vouch_lease)
        self._dependents[asked.incarnation] = _Dependent(asked.version, until)
        return Vouched()

    def cover(
        self, version: ids.DocumentVersion, now: datetime.timedelta
    ) -> bool:
        """Returns whether all that are vouched for have this version."""
        self._forget_lapsed(now)
        return all(d.version >= version for d in self._dependents.values())

    def empty(self, now: datetime.timedelta) -> bool:
        """Returns whether nobody is vouched for any more."""
        self._forget_lapsed(now)
        return not self._dependents

    def _forget_lapsed(self, now: datetime.timedelta) -> None:
        self._dependents = {
            incarnation: dependent
            for incarnation, dependent in self._dependents.items()
            if now < dependent.until
        }
