"""The digest that identifies a request by its content."""

import pytest

from dragonflystack import entry
from dragonflystack.entryd import _callers_port

_SCOPE = {
    "client": ("192.0.2.1", 40_000),
    "method": "GET",
    "raw_path": b"/r/1",
    "raw_target": b"/r/1?a=b",
    "query_string": b"a=b",
}


def _digest(
    body=b"x", host="shop.example", key=b"k", object_key="1", **changes
):
    scope = _SCOPE | changes
    request = entry.Request("1", host, "/r/1", object_key, None)
    return _callers_port._digest(scope, request, key, body)


def test_digest_is_equal_when_the_request_comes_again():
    """Guards against a request that is not recognized at another address."""
    assert _digest() == _digest(client=("192.0.2.2", 50_000))


def test_callers_are_told_apart_by_address():
    digest = _callers_port._caller_digest
    same = _SCOPE | {"client": ("192.0.2.1", 50_000)}
    other = _SCOPE | {"client": ("192.0.2.2", 40_000)}
    assert digest(_SCOPE) == digest(same)
    assert digest(_SCOPE) != digest(other)
    assert digest(_SCOPE) != digest(_SCOPE | {"client": None})


@pytest.mark.parametrize(
    "changes",
    [
        {"method": "POST"},
        {"raw_target": b"/r/1?a=c"},
        {"raw_target": b"/r/2?a=b"},
        {"host": "other.example"},
        {"key": None},
        {"object_key": None},
        {"body": b""},
    ],
    ids=str,
)
def test_digest_differs_for_another_request(changes):
    """Guards against holding one caller's request against others."""
    assert _digest(**changes) != _digest()
