"""Measures for how long this VM has lacked operators' rows that others have.

The announcement that newer rows exist is forwarded from VM to VM at once; the
rows themselves may take long on a saturated link. An announcement is valid only
if a VM that has the rows sent a heartbeat recently, to this VM or to one that
forwards the announcement: rows that no VM has any more must not stop VMs from
serving.
"""

import dataclasses
import datetime

import msgspec

_ZERO = datetime.timedelta()
_MILLISECOND = datetime.timedelta(milliseconds=1)

CONFIRMATION_TTL = datetime.timedelta(seconds=2)
"""How long an announcement is valid after its last confirmation: four
heartbeats, since each VM on the way forwards it with its next heartbeat."""

_RETENTION = datetime.timedelta(seconds=10)
"""How long an announcement is kept after its last confirmation. If it is
confirmed again within this time, the lag counts from the first announcement."""


class VersionAnnouncement(msgspec.Struct, frozen=True, array_like=True):
    """Announces that operators' rows up to a newer position exist."""

    position: int
    first_heard_ms: int
    """How long ago the first VM that forwarded the announcement got it."""

    confirmed_ms: int
    """How long ago a heartbeat of a VM that has the rows was received."""


@dataclasses.dataclass(slots=True)
class _Announced:
    """When a position was first announced, and when last confirmed."""

    first: datetime.timedelta
    confirmed: datetime.timedelta


class ReplicationLag:
    """The announced positions that are ahead of this VM's own position."""

    def __init__(self):
        self._announced: dict[int, _Announced] = {}
        self._read_position = 0

    def on_read(self, position: int) -> None:
        """Records that the store was read up to a position."""
        self._read_position = max(self._read_position, position)

    def on_announcement(
        self,
        announcement: VersionAnnouncement,
        known: int,
        now: datetime.timedelta,
    ) -> bool:
        """Handles the announcement of a position.

        Args:
            announcement: the announcement.
            known: the position up to which this VM has the operators' rows.
            now: the current time.

        Returns:
            Whether this VM lacks the rows and learns of them for the first
            time.
        """
        self._prune(known, now)
        position = announcement.position
        confirmed = now - announcement.confirmed_ms * _MILLISECOND
        if position <= max(known, self._read_position):
            return False
        if now - confirmed > CONFIRMATION_TTL:
            return False
        first = now - announcement.first_heard_ms * _MILLISECOND
        announced = self._announced.get(position)
        if announced is None:
            self._announced[position] = _Announced(first, confirmed)
            return True
        announced.first = min(announced.first, first)
        announced.confirmed = max(announced.confirmed, confirmed)
        return False

    def announcement(
        self, known: int, now: datetime.timedelta
    ) -> VersionAnnouncement | None:
        """Returns the announcement of the latest position to forward.

        None if this VM lacks no rows that it knows of.
        """
        missing = self._missing(known, now)
        if not missing:
            return None
        position = max(missing)
        announced = missing[position]
        return VersionAnnouncement(
            position,
            round((now - announced.first) / _MILLISECOND),
            round((now - announced.confirmed) / _MILLISECOND),
        )

    def duration(
        self, known: int, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns for how long this VM has lagged; zero if it does not."""
        missing = self._missing(known, now).values()
        return now - min(a.first for a in missing) if missing else _ZERO

    def _missing(
        self, known: int, now: datetime.timedelta
    ) -> dict[int, _Announced]:
        """Returns the announcements that are valid and ahead of this VM."""
        least = max(known, self._read_position)
        return {
            position: announced
            for position, announced in self._announced.items()
            if position > least
            and now - announced.confirmed <= CONFIRMATION_TTL
        }

    def _prune(self, known: int, now: datetime.timedelta) -> None:
        least = max(known, self._read_position)
        for position, announced in tuple(self._announced.items()):
            old = now - announced.confirmed > _RETENTION
            if position <= least or old:
                del self._announced[position]
