"""How long this VM has known of operators' rows that it does not have.

The word that there are newer rows is passed on at once from VM to VM; the rows
themselves may take long on a full link. A word counts while some VM that has
the rows was heard lately, by whoever passes it on: rows that no VM has any more
keep nobody from serving.
"""

import dataclasses
import datetime

import msgspec

_ZERO = datetime.timedelta()
_MILLISECOND = datetime.timedelta(milliseconds=1)

CONFIRMED_FOR = datetime.timedelta(seconds=2)
"""Four heartbeats: word of a VM that has the rows is passed on with the next
heartbeat of each VM on the way."""

_REMEMBERED_FOR = datetime.timedelta(seconds=10)
"""A word that is confirmed again after a pause counts from its first time."""


class VersionAnnouncement(msgspec.Struct, frozen=True, array_like=True):
    """What a VM heard of rows that it may lack."""

    position: int
    first_heard_ms: int
    """How long ago the first VM that passed it on heard of it."""

    confirmed_ms: int
    """How long ago a VM that has the rows was heard."""


@dataclasses.dataclass(slots=True)
class _Heard:
    first: datetime.timedelta
    confirmed: datetime.timedelta


class Lag:
    """Positions beyond the own one that were heard of."""

    def __init__(self):
        self._heard: dict[int, _Heard] = {}
        self._read = 0

    def on_read(self, position: int) -> None:
        """Notes that the store was read up to a position."""
        self._read = max(self._read, position)

    def on_announcement(
        self,
        announcement: VersionAnnouncement,
        known: int,
        now: datetime.timedelta,
    ) -> bool:
        """Takes in a position that another VM has, or heard of.

        Args:
            announcement: the position.
            known: up to where this VM knows the operators' rows.
            now: the time.

        Returns:
            Whether this VM lacks the rows and hears of them for the first time.
        """
        self._forget(known, now)
        position = announcement.position
        confirmed = now - announcement.confirmed_ms * _MILLISECOND
        if position <= max(known, self._read):
            return False
        if now - confirmed > CONFIRMED_FOR:
            return False
        first = now - announcement.first_heard_ms * _MILLISECOND
        heard = self._heard.get(position)
        if heard is None:
            self._heard[position] = _Heard(first, confirmed)
            return True
        heard.first = min(heard.first, first)
        heard.confirmed = max(heard.confirmed, confirmed)
        return False

    def announcement(
        self, known: int, now: datetime.timedelta
    ) -> VersionAnnouncement | None:
        """Returns the latest position to pass on, None if there is none."""
        lacking = self._lacking(known, now)
        if not lacking:
            return None
        position = max(lacking)
        heard = lacking[position]
        return VersionAnnouncement(
            position,
            round((now - heard.first) / _MILLISECOND),
            round((now - heard.confirmed) / _MILLISECOND),
        )

    def age(self, known: int, now: datetime.timedelta) -> datetime.timedelta:
        """Returns for how long this VM has been behind; zero if it is not."""
        lacking = self._lacking(known, now).values()
        return now - min(h.first for h in lacking) if lacking else _ZERO

    def _lacking(
        self, known: int, now: datetime.timedelta
    ) -> dict[int, _Heard]:
        """Returns the confirmed positions whose rows this VM lacks."""
        least = max(known, self._read)
        return {
            position: heard
            for position, heard in self._heard.items()
            if position > least and now - heard.confirmed <= CONFIRMED_FOR
        }

    def _forget(self, known: int, now: datetime.timedelta) -> None:
        least = max(known, self._read)
        for position, heard in tuple(self._heard.items()):
            old = now - heard.confirmed > _REMEMBERED_FOR
            if position <= least or old:
                del self._heard[position]
