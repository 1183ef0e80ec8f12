"""The digest that identifies a request by its content."""

import pytest

from dragonflystack.entryd import _callers_port

_SCOPE = {
    "client": ("192.0.2.1", 40_000),
    "method": "GET",
    "raw_path": b"/r/1",
    "raw_target": b"/r/1?a=b",
    "query_string": b"a=b",
}


def _digest(body=b"x", host="shop.example", key=b"k", **changes):
    scope = _SCOPE | changes
    return _callers_port._digest(scope, host, key, body)


def test_digest_is_equal_when_the_request_comes_again():
    """From another port of the caller, after a retry for instance."""
    assert _digest() == _digest(client=("192.0.2.1", 50_000))


@pytest.mark.parametrize(
    "changes",
    [
        {"client": ("192.0.2.2", 40_000)},
        {"client": None},
        {"method": "POST"},
        {"raw_target": b"/r/1?a=c"},
        {"raw_target": b"/r/2?a=b"},
        {"host": "other.example"},
        {"key": None},
        {"body": b""},
    ],
    ids=str,
)
def test_digest_differs_for_another_request(changes):
    """Guards against holding one caller's request against others."""
    assert _digest(**changes) != _digest()
