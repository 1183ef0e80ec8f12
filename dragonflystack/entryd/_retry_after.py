"""Reads `Retry-After` of a backend server (RFC 9110, 10.2.3).

Seconds may have a fraction, which the RFC does not know. A date is counted
from this VM's wall clock.
"""

import dataclasses
import datetime
import email.utils
import enum
import math

_ZERO = datetime.timedelta()
_MAX_SECONDS = 86_400_000.0
"""Larger numbers count as this many, which a duration can hold."""

_MAX_LOGGED_CHARS = 40


class Problem(enum.Enum):
    """Why a value cannot be used."""

    MALFORMED = "malformed"
    """Neither a number nor a date."""

    NEGATIVE = "negative"
    PAST = "past"
    """A date that is over."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The backend server wants no more requests for so long."""

    duration: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Unusable:
    """The value says nothing that can be followed."""

    problem: Problem
    text: str
    """The value's beginning."""


def read(value: bytes, now: datetime.datetime) -> Wait | Unusable:
    """Returns what a value asks for.

    Args:
        value: the header's value.
        now: the wall-clock time, with its time zone.
    """
    text = value.decode("latin-1").strip()
    try:
        seconds = float(text)
    except ValueError:
        return _read_date(text, now)
    if math.isnan(seconds):
        return _unusable(Problem.MALFORMED, text)
    if seconds < 0:
        return _unusable(Problem.NEGATIVE, text)
    return Wait(datetime.timedelta(seconds=min(seconds, _MAX_SECONDS)))


def _read_date(text: str, now: datetime.datetime) -> Wait | Unusable:
    try:
        until = email.utils.parsedate_to_datetime(text)
    except ValueError:
        return _unusable(Problem.MALFORMED, text)
    if until.tzinfo is None:
        until = until.replace(tzinfo=datetime.UTC)
    if until - now < _ZERO:
        return _unusable(Problem.PAST, text)
    return Wait(until - now)


def _unusable(problem: Problem, text: str) -> Unusable:
    return Unusable(problem, text[:_MAX_LOGGED_CHARS])
