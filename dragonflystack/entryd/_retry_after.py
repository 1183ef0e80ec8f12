"""Parses the `Retry-After` header of backend servers (RFC 9110, 10.2.3).

Unlike in the RFC, seconds may have a fraction. The delay until a date is
computed with this VM's wall clock.
"""

import dataclasses
import datetime
import email.utils
import enum
import math

_ZERO = datetime.timedelta()
_MAX_SECONDS = 86_400_000.0
"""Larger numbers are capped to this one, which fits a timedelta."""

_MAX_LOGGED_CHARS = 40


class Problem(enum.Enum):
    """Why a value is unusable."""

    MALFORMED = "malformed"
    """Neither a number nor a date."""

    NEGATIVE = "negative"
    PAST = "past"
    """A date in the past."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The backend server wants no requests for this duration."""

    duration: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Unusable:
    """The value cannot be followed."""

    problem: Problem
    text: str
    """The start of the value, for the log."""


def parse(value: bytes, now: datetime.datetime) -> Wait | Unusable:
    """Parses the value of a `Retry-After` header.

    Args:
        value: the header's value.
        now: the wall-clock time, with its time zone.
    """
    text = value.decode("latin-1").strip()
    try:
        seconds = float(text)
    except ValueError:
        return _parse_date(text, now)
    if math.isnan(seconds):
        return _unusable(Problem.MALFORMED, text)
    if seconds < 0:
        return _unusable(Problem.NEGATIVE, text)
    return Wait(datetime.timedelta(seconds=min(seconds, _MAX_SECONDS)))


def _parse_date(text: str, now: datetime.datetime) -> Wait | Unusable:
    try:
        until = email.utils.parsedate_to_datetime(text)
        if until.tzinfo is None:
            until = until.replace(tzinfo=datetime.UTC)
        wait = until - now
    except (ValueError, OverflowError):
        return _unusable(Problem.MALFORMED, text)
    if wait < _ZERO:
        return _unusable(Problem.PAST, text)
    return Wait(wait)


def _unusable(problem: Problem, text: str) -> Unusable:
    return Unusable(problem, text[:_MAX_LOGGED_CHARS])
