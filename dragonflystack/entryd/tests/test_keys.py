"""Keys of customers on the way of a request through a daemon."""

import os

import eliot
import msgspec
import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entryd import _journal
from dragonflystack.entryd import _snapshots
from dragonflystack.entryd.tests import daemons

_KEY = b"key-of-alice"
_BEARER = (b"authorization", b"Bearer " + _KEY)


def _customer(name, *keys):
    digests = tuple(map(entry.digest_key, keys))
    return entry.Customer(ids.CustomerId(name), digests)


_ALICE = _customer("alice", _KEY, b"second-key")
_BOB = _customer("bob", b"key-of-bob")


def _values(head, name):
    """Returns the values of a header in what reached a backend server."""
    fields = (line.partition(b": ") for line in head.split(b"\r\n")[1:])
    return [value for field, _, value in fields if field.lower() == name]


def _play(scenario, customers=(_ALICE, _BOB)):
    async def run(platform, backend):
        platform.customers = customers
        async with daemons.serving(platform) as (pool, daemon):
            await scenario(pool, daemon, backend)

    daemons.play(run)


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
            id="another customer named",
        ),
        pytest.param(
            [_BEARER, (b"connection", b"x-customer")],
            b"alice",
            id="customer named as of one connection",
        ),
    ],
)
def test_a_key_becomes_the_customer_s_name(headers, customer):
    async def scenario(pool, daemon, backend):
        res = await daemons.get(pool, daemon, more=headers)
        assert res.status == 200
        (head,) = backend.heads
        assert _values(head, b"x-customer") == [customer]
        assert b"authorization" not in head.lower()
        assert b"key-of-" not in head

    _play(scenario)


@pytest.mark.parametrize(
    "headers",
    [
        pytest.param([], id="none"),
        pytest.param([(b"x-customer", b"alice")], id="only a name"),
        pytest.param([(b"authorization", b"")], id="empty"),
        pytest.param([(b"authorization", b"Bearer")], id="no key"),
        pytest.param([(b"authorization", _KEY)], id="no scheme"),
        pytest.param([(b"authorization", b"Basic " + _KEY)], id="scheme"),
        pytest.param([(b"authorization", b"Bearer alice")], id="unknown"),
        pytest.param(
            [(b"authorization", b"Bearer " + _KEY + b" x")], id="two words"
        ),
        pytest.param(
            [(b"authorization", b"Bearer " + _KEY + b"\xff")], id="other bytes"
        ),
        pytest.param([_BEARER, _BEARER], id="twice"),
        pytest.param(
            [_BEARER, (b"authorization", b"Bearer key-of-bob")], id="two keys"
        ),
    ],
)
def test_a_request_without_a_readable_key_in_force_gets_401(headers):
    async def scenario(pool, daemon, backend):
        res = await daemons.get(pool, daemon, more=headers)
        assert res.status == 401
        assert (b"www-authenticate", b"Bearer") in res.headers
        assert backend.runs == 0
        assert _KEY not in res.content

    _play(scenario)


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
def test_a_key_is_read_from_one_bearer_token(value, key):
    assert daemons.DIALECT.read_key([value]) == key


@pytest.mark.parametrize(
    "headers",
    [[], [_BEARER], [(b"x-customer", b"bob")], [(b"authorization", b"x")]],
)
def test_on_a_public_route_neither_key_nor_name_is_passed_on(headers):
    async def scenario(pool, daemon, backend):
        res = await daemons.get(pool, daemon, path="/open/1", more=headers)
        assert res.status == 200
        (head,) = backend.heads
        assert _values(head, b"authorization") == []
        assert _values(head, b"x-customer") == []

    _play(scenario)


def test_without_customers_headers_go_on_as_they_came():
    async def scenario(pool, daemon, backend):
        headers = [_BEARER, (b"x-customer", b"bob")]
        res = await daemons.get(pool, daemon, more=headers)
        assert res.status == 200
        (head,) = backend.heads
        assert _values(head, b"authorization") == [b"Bearer " + _KEY]
        assert _values(head, b"x-customer") == [b"bob"]

    _play(scenario, customers=None)


def test_a_key_taken_away_is_refused_on_a_kept_connection():
    async def scenario(pool, daemon, backend):
        assert (await daemons.get(pool, daemon, more=[_BEARER])).status == 200
        taken = _customer("alice", b"second-key")
        daemon.vm.on_catalogue(daemons.make_catalogue(4, (taken, _BOB)))
        assert (await daemons.get(pool, daemon, more=[_BEARER])).status == 401
        other = (b"authorization", b"Bearer second-key")
        assert (await daemons.get(pool, daemon, more=[other])).status == 200
        assert backend.runs == 2
        (conn,) = pool.connections
        assert conn.is_idle()

    _play(scenario)


def test_a_key_is_in_nothing_that_a_vm_tells():
    """A log names the digest of a refused key, so that it can be found."""
    reader, writer = os.pipe()

    async def scenario(pool, daemon, backend):
        journal = _journal.Journal(writer, daemon.clock)
        eliot.add_destinations(journal._take)
        try:
            await daemons.get(pool, daemon, more=[_BEARER])
            daemon.vm.on_catalogue(daemons.make_catalogue(4, (_BOB,)))
            await daemons.get(pool, daemon, more=[_BEARER])
        finally:
            eliot.remove_destination(journal._take)
        journal.flush()
        log = os.read(reader, 1_000_000)
        os.close(reader)
        os.close(writer)
        assert b'"customer":"alice"' in log
        assert entry.digest_key(_KEY).encode() in log
        dump = msgspec.json.encode(_snapshots.dump(daemon))
        news = msgspec.json.encode(daemon.vm.changes_since(entry.Position()))
        assert b"bob" in news
        for told in (log, dump, news, daemon.metrics.render()):
            for key in (_KEY, b"second-key", b"key-of-bob"):
                assert key not in told

    _play(scenario)
