"""Tests how a daemon checks, replaces and hides the keys of customers."""

import os

import eliot
import msgspec
import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entryd import _event_log
from dragonflystack.entryd import _peers_port
from dragonflystack.entryd.tests import daemons

_KEY = b"key-of-alice"
_BEARER = (b"authorization", b"Bearer " + _KEY)


def _customer(name, *keys):
    digests = tuple(map(entry.digest_key, keys))
    return entry.Customer(ids.CustomerId(name), digests)


_ALICE = _customer("alice", _KEY, b"second-key")
_BOB = _customer("bob", b"key-of-bob")


def _values(head, name):
    """Returns the values of a header in a request to a backend server."""
    fields = (line.partition(b": ") for line in head.split(b"\r\n")[1:])
    return [value for field, _, value in fields if field.lower() == name]


def _run_scenario(scenario, customers=(_ALICE, _BOB)):
    async def run(platform, backend):
        platform.customers = customers
        async with daemons.serving_daemon(platform) as (pool, daemon):
            await scenario(pool, daemon, backend)

    daemons.run_scenario(run)


@pytest.mark.parametrize(
    ("headers", "customer"),
    [
        pytest.param([_BEARER], b"alice", id="key"),
        pytest.param(
            [(b"Authorization", b"bearer  key-of-bob")], b"bob", id="spelling"
        ),
        pytest.param(
            [_BEARER, (b"X-Customer", b"bob"), (b"x-customer", b"eve")],
            b"alice",
            id="other customer in header",
        ),
        pytest.param(
            [_BEARER, (b"connection", b"x-customer")],
            b"alice",
            id="customer header listed in connection",
        ),
    ],
)
def test_key_is_replaced_by_the_customer_id(headers, customer):
    async def scenario(pool, daemon, backend):
        res = await daemons.get(pool, daemon, more=headers)
        assert res.status == 200
        (head,) = backend.heads
        assert _values(head, b"x-customer") == [customer]
        assert b"authorization" not in head.lower()
        assert b"key-of-" not in head

    _run_scenario(scenario)


@pytest.mark.parametrize(
    "headers",
    [
        pytest.param([], id="none"),
        pytest.param([(b"x-customer", b"alice")], id="only a customer id"),
        pytest.param([(b"authorization", b"")], id="empty"),
        pytest.param([(b"authorization", b"Bearer")], id="no key"),
        pytest.param([(b"authorization", _KEY)], id="no scheme"),
        pytest.param([(b"authorization", b"Basic " + _KEY)], id="other scheme"),
        pytest.param([(b"authorization", b"Bearer alice")], id="unknown"),
        pytest.param(
            [(b"authorization", b"Bearer " + _KEY + b" x")], id="two tokens"
        ),
        pytest.param(
            [(b"authorization", b"Bearer " + _KEY + b"\xff")],
            id="non-ASCII byte",
        ),
        pytest.param([_BEARER, _BEARER], id="header twice"),
        pytest.param(
            [_BEARER, (b"authorization", b"Bearer key-of-bob")], id="two keys"
        ),
    ],
)
def test_request_without_a_valid_key_gets_401(headers):
    async def scenario(pool, daemon, backend):
        res = await daemons.get(pool, daemon, more=headers)
        assert res.status == 401
        assert (b"www-authenticate", b"Bearer") in res.headers
        assert backend.runs == 0
        assert _KEY not in res.content

    _run_scenario(scenario)


@pytest.mark.parametrize(
    ("value", "key"),
    [
        (b"Bearer k", b"k"),
        (b"BEARER   k ", b"k"),
        (b"Bearer ", None),
        (b"Bearer   ", None),
        (b"Bearerk", None),
        (b"Bearer\tk", None),
        (b"Bearer k\tk", None),
        (b"Bearer k, Bearer l", None),
        (b" Bearer k", None),
    ],
)
def test_key_is_parsed_from_a_bearer_token(value, key):
    assert daemons.DIALECT.read_key([value]) == key


@pytest.mark.parametrize(
    "headers",
    [[], [_BEARER], [(b"x-customer", b"bob")], [(b"authorization", b"x")]],
)
def test_public_route_forwards_neither_key_nor_customer(headers):
    async def scenario(pool, daemon, backend):
        res = await daemons.get(pool, daemon, path="/open/1", more=headers)
        assert res.status == 200
        (head,) = backend.heads
        assert _values(head, b"authorization") == []
        assert _values(head, b"x-customer") == []

    _run_scenario(scenario)


def test_headers_are_forwarded_unchanged_without_customers():
    async def scenario(pool, daemon, backend):
        headers = [_BEARER, (b"x-customer", b"bob")]
        res = await daemons.get(pool, daemon, more=headers)
        assert res.status == 200
        (head,) = backend.heads
        assert _values(head, b"authorization") == [b"Bearer " + _KEY]
        assert _values(head, b"x-customer") == [b"bob"]

    _run_scenario(scenario, customers=None)


def test_revoked_key_is_rejected_on_an_open_connection():
    async def scenario(pool, daemon, backend):
        assert (await daemons.get(pool, daemon, more=[_BEARER])).status == 200
        changed_alice = _customer("alice", b"second-key")
        daemon.vm.on_catalogue(daemons.make_catalogue(4, (changed_alice, _BOB)))
        assert (await daemons.get(pool, daemon, more=[_BEARER])).status == 401
        other = (b"authorization", b"Bearer second-key")
        assert (await daemons.get(pool, daemon, more=[other])).status == 200
        assert backend.runs == 2
        (conn,) = pool.connections
        assert conn.is_idle()

    _run_scenario(scenario)


def test_keys_never_leave_the_vm():
    """Guards against keys in logs, dumps, replicated changes or metrics.

    A log contains the digest of a rejected key, so that it can be identified.
    """
    reader, writer = os.pipe()

    async def scenario(pool, daemon, backend):
        event_log = _event_log.EventLog(writer, daemon.clock)
        eliot.add_destinations(event_log._enqueue)
        try:
            await daemons.get(pool, daemon, more=[_BEARER])
            daemon.vm.on_catalogue(daemons.make_catalogue(4, (_BOB,)))
            await daemons.get(pool, daemon, more=[_BEARER])
        finally:
            eliot.remove_destination(event_log._enqueue)
        event_log.flush()
        log = os.read(reader, 1_000_000)
        os.close(reader)
        os.close(writer)
        assert b'"customer":"alice"' in log
        assert entry.digest_key(_KEY).encode() in log
        dump = msgspec.json.encode(_peers_port.dump(daemon))
        changes = msgspec.json.encode(daemon.vm.changes_since(entry.Position()))
        assert b"bob" in changes
        for output in (log, dump, changes, daemon.metrics.render()):
            for key in (_KEY, b"second-key", b"key-of-bob"):
                assert key not in output

    _run_scenario(scenario)
