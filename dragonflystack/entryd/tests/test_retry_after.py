"""Tests the values that backend servers may send in Retry-After."""

import datetime

import pytest

from dragonflystack.entryd import _retry_after

_NOW = datetime.datetime(2026, 12, 4, 9, 0, 0, tzinfo=datetime.UTC)
_MALFORMED = _retry_after.Problem.MALFORMED


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        pytest.param(b"4", 4, id="seconds"),
        pytest.param(b" 0.25 ", 0.25, id="a fraction"),
        pytest.param(b"0", 0, id="zero"),
        pytest.param(b"1e99", 86_400_000, id="huge"),
        pytest.param(b"inf", 86_400_000, id="infinite"),
        pytest.param(b"Fri, 04 Dec 2026 09:00:07 GMT", 7, id="a date"),
        pytest.param(b"Fri, 04 Dec 2026 09:00:07 -0000", 7, id="no zone"),
    ],
)
def test_valid_value_is_parsed(value, seconds):
    wait = datetime.timedelta(seconds=seconds)
    assert _retry_after.parse(value, _NOW) == _retry_after.Wait(wait)


@pytest.mark.parametrize(
    ("value", "problem"),
    [
        pytest.param(b"", _MALFORMED, id="empty"),
        pytest.param(b"soon", _MALFORMED, id="a word"),
        pytest.param(b"nan", _MALFORMED, id="not a number"),
        pytest.param(b"\xff\x00", _MALFORMED, id="not text"),
        pytest.param(b"4" * 9_000 + b"x", _MALFORMED, id="long"),
        pytest.param(
            b"Fri, 99 Dec 2026 09:00:07 GMT", _MALFORMED, id="no such day"
        ),
        pytest.param(b"-1", _retry_after.Problem.NEGATIVE, id="negative"),
        pytest.param(
            b"Fri, 04 Dec 2026 08:59:59 GMT",
            _retry_after.Problem.PAST,
            id="past date",
        ),
    ],
)
def test_unusable_value_is_classified(value, problem):
    found = _retry_after.parse(value, _NOW)
    assert isinstance(found, _retry_after.Unusable)
    assert found.problem is problem
    assert len(found.text) <= 40
