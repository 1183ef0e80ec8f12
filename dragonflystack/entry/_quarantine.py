"""Keeps requests that make backend servers end away from further ones.

A request may end each backend server that runs it, and come again at any VM.
VMs therefore report to each other which requests were in flight when a backend
server ended. A request that was in flight at several ends and was never
answered is quarantined: no VM sends it any more.

Other requests are in flight at the same moments. An end counts only against
those of its requests that were in flight at the most ends. A backend server
that responds later has not ended, whatever broke its connections.

Requests are identified by their content, because the same one may come from
several addresses. An answer clears a request for its caller's address, because
one that ends its backend servers never gets an answer.
"""

import collections
from collections.abc import Iterable
import dataclasses
import datetime

import msgspec

from dragonflystack import ids
from dragonflystack.entry import _servers

_ENDS_TO_QUARANTINE = 3
"""The users tolerate the end of three backend servers under one request."""

_ENDS_IF_AMBIGUOUS = 5
"""Ends after which a request is quarantined although another request was in
flight at all of them."""

_ENDS_TO_STOP_RETRIES = 2
"""Ends after which VMs do not retry a request on their own."""

_QUARANTINE_FOR = datetime.timedelta(minutes=10)
"""Time since the latest end. After that, the request is sent again; if one more
backend server ends, it is quarantined again."""

_REMEMBER_FOR = datetime.timedelta(hours=1)
"""How long an end counts."""

_SAME_MOMENT = datetime.timedelta(milliseconds=50)
"""Backend servers that end within this time probably have a common cause,
such as a loss of power, so their ends count once."""

_LATE_RESPONSE = datetime.timedelta(milliseconds=500)
"""A response that arrives this soon after the end may have been sent before."""

_MAX_ENDS = 256
_MAX_ENDS_PER_REQUEST = 16
_MAX_REQUESTS_PER_END = 32
_MAX_CALLERS = 8
"""Callers of one request that are kept for one end."""

_MAX_CLEARED = 1_024
_ANNOUNCE_FOR = datetime.timedelta(seconds=1)
"""Time for several reports, because datagrams get lost."""

_MAX_PER_REPORT = 16
"""Entries of each kind in one report, which has to fit into one packet."""

_MILLISECOND = datetime.timedelta(milliseconds=1)


class ServerEnd(msgspec.Struct, frozen=True, array_like=True):
    """A request that was in flight when a backend server ended."""

    server: ids.BackendServerId
    born: int
    """See `ServerEntry.born`."""

    digest: ids.RequestDigest
    caller: ids.CallerDigest
    age_ms: int
    """Time since the end when the report was sent."""


class Clearance(msgspec.Struct, frozen=True, array_like=True):
    """A caller's request that got an answer, so that its ends do not count."""

    digest: ids.RequestDigest
    caller: ids.CallerDigest
    age_ms: int
    """Time since the answer when the report was sent."""


class QuarantineReport(msgspec.Struct, frozen=True):
    """What one VM tells another about ends of backend servers."""

    ends: tuple[ServerEnd, ...] = ()
    cleared: tuple[Clearance, ...] = ()


_Incarnation = tuple[ids.BackendServerId, int]
_CallersRequest = tuple[ids.RequestDigest, ids.CallerDigest]


@dataclasses.dataclass(frozen=True, slots=True)
class _End:
    """A request's part in the end of a backend server."""

    at: datetime.timedelta
    callers: set[ids.CallerDigest]
    """The callers whose attempts of the request broke."""


@dataclasses.dataclass(frozen=True, slots=True)
class _News:
    """An entry for the next reports."""

    learnt_at: datetime.timedelta
    incarnation: _Incarnation
    digest: ids.RequestDigest
    caller: ids.CallerDigest
    is_own: bool
    """Whether this VM observed it itself."""


class Quarantine:
    """The requests that this VM knows to end backend servers."""

    def __init__(self, registry: _servers.ServerRegistry):
        self._registry = registry
        self._ends: collections.OrderedDict[
            _Incarnation, set[ids.RequestDigest]
        ] = collections.OrderedDict()
        """The requests in flight at each end, oldest end first."""

        self._by_request: dict[ids.RequestDigest, dict[_Incarnation, _End]] = {}
        """The ends at which a request was in flight."""

        self._quarantined: set[ids.RequestDigest] = set()
        self._verdicts: dict[ids.RequestDigest, bool] = {}
        self._counts: dict[ids.RequestDigest, int] = {}
        """Cached until evidence changes or the next tick."""

        self._cleared_at: collections.OrderedDict[
            _CallersRequest, datetime.timedelta
        ] = collections.OrderedDict()
        self._news: collections.deque[_News] = collections.deque(
            maxlen=4 * _MAX_PER_REPORT
        )
        self._changes: list[tuple[ids.RequestDigest, int]] = []

    # Evidence.

    def on_broken(
        self,
        digest: ids.RequestDigest,
        caller: ids.CallerDigest,
        entry: _servers.ServerEntry,
        now: datetime.timedelta,
    ) -> None:
        """Records that a connection broke while a request was in flight."""
        if digest:
            incarnation = (entry.id, entry.born)
            self._record(incarnation, (digest, caller), now, now, True)

    def on_answered(
        self,
        digest: ids.RequestDigest,
        caller: ids.CallerDigest,
        now: datetime.timedelta,
    ) -> None:
        """Clears a request: a backend server has run it and answered."""
        if digest in self._by_request:
            self._clear((digest, caller), now)

    def on_report(
        self, report: QuarantineReport, now: datetime.timedelta
    ) -> None:
        """Records another VM's report."""
        for cleared in report.cleared:
            at = _time_before(now, cleared.age_ms)
            key = (cleared.digest, cleared.caller)
            known = self._cleared_at.get(key)
            # Transit makes each hop's time a little later.
            if known is None or at > known + _ANNOUNCE_FOR:
                self._clear(key, at)
        for told in report.ends:
            at = _time_before(now, told.age_ms)
            self._record(
                (told.server, told.born),
                (told.digest, told.caller),
                at,
                now,
                False,
            )

    def on_tick(self, now: datetime.timedelta) -> None:
        """Forgets ends that are too old to count, and cached decisions."""
        self._forget_decisions()
        while self._ends:
            incarnation = next(iter(self._ends))
            digests = self._ends[incarnation]
            latest = max(self._by_request[d][incarnation].at for d in digests)
            if now - latest < _REMEMBER_FOR:
                return
            self._forget_end(incarnation)

    def _record(
        self,
        incarnation: _Incarnation,
        request: _CallersRequest,
        at: datetime.timedelta,
        now: datetime.timedelta,
        is_own: bool,
    ) -> None:
        digest, caller = request
        if at <= self._cleared_at.get(request, now - _REMEMBER_FOR):
            return
        digests = self._ends.setdefault(incarnation, set())
        if digest in digests:
            callers = self._by_request[digest][incarnation].callers
            if caller in callers or len(callers) >= _MAX_CALLERS:
                return
            callers.add(caller)
        elif len(digests) >= _MAX_REQUESTS_PER_END:
            return
        else:
            digests.add(digest)
            ends = self._by_request.setdefault(digest, {})
            ends[incarnation] = _End(at, {caller})
        self._news.append(_News(now, incarnation, digest, caller, is_own))
        known = self._by_request[digest]
        if len(known) > _MAX_ENDS_PER_REQUEST:
            self._forget(digest, min(known, key=lambda end: known[end].at))
        if len(self._ends) > _MAX_ENDS:
            self._forget_end(next(iter(self._ends)))
        self._forget_decisions()

    def _forget_end(self, incarnation: _Incarnation) -> None:
        for digest in tuple(self._ends[incarnation]):
            self._forget(digest, incarnation)

    def _forget(
        self, digest: ids.RequestDigest, incarnation: _Incarnation
    ) -> None:
        digests = self._ends[incarnation]
        digests.discard(digest)
        if not digests:
            del self._ends[incarnation]
        ends = self._by_request[digest]
        del ends[incarnation]
        if not ends:
            del self._by_request[digest]
            self._quarantined.discard(digest)

    def _forget_decisions(self) -> None:
        self._verdicts.clear()
        self._counts.clear()

    def _clear(self, key: _CallersRequest, at: datetime.timedelta) -> None:
        digest, caller = key
        self._cleared_at[key] = at
        self._cleared_at.move_to_end(key)
        if len(self._cleared_at) > _MAX_CLEARED:
            self._cleared_at.popitem(last=False)
        ends = tuple(self._by_request.get(digest, {}).items())
        for incarnation, end in ends:
            if end.at <= at:
                end.callers.discard(caller)
                if not end.callers:
                    self._forget(digest, incarnation)
        self._forget_decisions()

    # Decisions.

    def quarantined_for(
        self,
        digest: ids.RequestDigest,
        caller: ids.CallerDigest,
        now: datetime.timedelta,
    ) -> datetime.timedelta | None:
        """Returns how long a request stays quarantined, None if it is not.

        A caller may send it whose same request was answered before. If one
        caller explains all ends, others may as well.
        """
        if (
            digest not in self._by_request
            or self._is_cleared(digest, caller)
            or not self._assess(digest)
        ):
            return None
        ends = self._by_request[digest].values()
        explaining = set.intersection(*(end.callers for end in ends))
        if explaining and caller not in explaining:
            return None
        latest = max(end.at for end in ends)
        left = latest + _QUARANTINE_FOR - now
        return left if left > datetime.timedelta() else None

    def may_retry(
        self, digest: ids.RequestDigest, caller: ids.CallerDigest
    ) -> bool:
        """Returns whether a VM may send a request again on its own."""
        if digest not in self._by_request or self._is_cleared(digest, caller):
            return True
        return len(self._attributed(digest)) < _ENDS_TO_STOP_RETRIES

    def _is_cleared(
        self, digest: ids.RequestDigest, caller: ids.CallerDigest
    ) -> bool:
        """Returns whether a caller's request was answered.

        An answer does not count any more after as many ends as it takes to
        quarantine a request, because backend servers change.
        """
        if (digest, caller) not in self._cleared_at:
            return False
        ends = self._by_request[digest].values()
        later = sum(caller in end.callers for end in ends)
        return later < _ENDS_TO_QUARANTINE

    def take_changes(self) -> list[tuple[ids.RequestDigest, int]]:
        """Returns the requests quarantined since the last call.

        Each comes with the number of ends at which it was in flight.
        """
        changes, self._changes = self._changes, []
        return changes

    def _assess(self, digest: ids.RequestDigest) -> bool:
        """Returns whether a request has to be quarantined."""
        verdict = self._verdicts.get(digest)
        if verdict is None:
            verdict = self._verdicts[digest] = self._decide(digest)
        return verdict

    def _decide(self, digest: ids.RequestDigest) -> bool:
        ends = self._attributed(digest)
        required = _ENDS_TO_QUARANTINE
        if self._has_companion(digest, ends):
            required = _ENDS_IF_AMBIGUOUS
        known = self._by_request[digest]
        if _moments(known[incarnation].at for incarnation in ends) < required:
            self._quarantined.discard(digest)
            return False
        if digest not in self._quarantined:
            self._quarantined.add(digest)
            self._changes.append((digest, len(ends)))
        return True

    def _attributed(self, digest: ids.RequestDigest) -> list[_Incarnation]:
        """Returns the ends that count against a request."""
        count = self._count(digest)
        return [
            incarnation
            for incarnation, end in self._by_request[digest].items()
            if not self._has_responded(incarnation, end.at)
            and not any(
                self._explains(other, count)
                for other in self._ends[incarnation]
                if other != digest
            )
        ]

    def _explains(self, other: ids.RequestDigest, count: int) -> bool:
        """Returns whether another request explains an end better.

        Args:
            other: the other request, which was in flight at the end as well.
            count: the number of ends of the request in question.
        """
        others = self._count(other)
        return others > count or (
            others == count and other in self._quarantined
        )

    def _has_companion(
        self, digest: ids.RequestDigest, ends: list[_Incarnation]
    ) -> bool:
        """Returns whether another request was in flight at all the ends."""
        if not ends:
            return False
        common = set.intersection(*(self._ends[end] for end in ends))
        return len(common) > 1

    def _count(self, digest: ids.RequestDigest) -> int:
        """Returns the number of ends at which a request was in flight."""
        count = self._counts.get(digest)
        if count is None:
            count = self._counts[digest] = sum(
                not self._has_responded(incarnation, end.at)
                for incarnation, end in self._by_request[digest].items()
            )
        return count

    def _has_responded(
        self, incarnation: _Incarnation, ended_at: datetime.timedelta
    ) -> bool:
        """Returns whether a backend server responded after its supposed end."""
        name, born = incarnation
        server = self._registry.get(name)
        if server is None or server.gone or server.entry.born != born:
            return False
        if not born and server.added_at > ended_at:
            return False
        responded_at = max(server.last_response_at, server.load_known_at)
        return responded_at > max(ended_at + _LATE_RESPONSE, server.added_at)

    # Reports to other VMs.

    def recent(
        self, now: datetime.timedelta, own_only: bool = False
    ) -> QuarantineReport | None:
        """Returns the latest news for other VMs, None if there is none.

        Args:
            now: the time.
            own_only: whether to leave out what other VMs reported.
        """
        ends = [
            (news.incarnation, (news.digest, news.caller))
            for news in self._news
            if now - news.learnt_at <= _ANNOUNCE_FOR
            and (news.is_own or not own_only)
        ]
        return self._report(ends, _ANNOUNCE_FOR, now)

    def known(self, now: datetime.timedelta) -> QuarantineReport | None:
        """Returns what a VM needs that has just started or was cut off."""
        ends = [
            (incarnation, (digest, caller))
            for digest, known in self._by_request.items()
            if len(known) >= _ENDS_TO_STOP_RETRIES
            for incarnation, end in known.items()
            for caller in end.callers
        ]
        return self._report(ends, _REMEMBER_FOR, now)

    def _report(
        self,
        ends: Iterable[tuple[_Incarnation, _CallersRequest]],
        max_age: datetime.timedelta,
        now: datetime.timedelta,
    ) -> QuarantineReport | None:
        """Returns a report of the most suspect requests, newest ends first."""
        chosen = []
        for incarnation, (digest, caller) in ends:
            known = self._by_request.get(digest, {})
            end = known.get(incarnation)
            if (
                end is not None
                and caller in end.callers
                and not self._has_responded(incarnation, end.at)
            ):
                age_ms = round((now - end.at) / _MILLISECOND)
                told = ServerEnd(*incarnation, digest, caller, age_ms)
                chosen.append((len(known), -age_ms, told))
        chosen.sort(key=lambda each: each[:2], reverse=True)
        cleared = [
            Clearance(*request, round((now - at) / _MILLISECOND))
            for request, at in reversed(self._cleared_at.items())
            if now - at <= min(max_age, 2 * _ANNOUNCE_FOR)
        ]
        if not chosen and not cleared:
            return None
        return QuarantineReport(
            tuple(told for _, _, told in chosen[:_MAX_PER_REPORT]),
            tuple(cleared[:_MAX_PER_REPORT]),
        )


def _time_before(now: datetime.timedelta, age_ms: int) -> datetime.timedelta:
    """Returns the time of what a report says; ages may be out of range."""
    longest_ms = _REMEMBER_FOR // _MILLISECOND
    return now - min(max(0, age_ms), longest_ms) * _MILLISECOND


def _moments(times: Iterable[datetime.timedelta]) -> int:
    """Counts times, those in quick succession once."""
    number = 0
    latest: datetime.timedelta | None = None
    for at in sorted(times):
        if latest is None or at - latest >= _SAME_MOMENT:
            number += 1
        latest = at
    return number
