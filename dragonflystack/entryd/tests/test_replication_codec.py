"""Tests that replication responses are decoded completely or rejected."""

import zlib

import msgspec
import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry.tests import builders
from dragonflystack.entryd import _replication_codec


def _make_response(*routes, version=3):
    """Returns the response of a VM whose catalogue has the given routes."""
    vm = builders.entry_vm(builders.server("s1"), builders.server("s2"))
    vm.on_catalogue(builders.catalogue(*routes, version=version))
    vm.log.on_operators(9)
    vm.dispatch.on_evacuated(
        frozenset({ids.FailureDomainId("a1")}), builders.ms(0)
    )
    changes = vm.changes_since(entry.Position())
    return _replication_codec.ReplicationResponse(
        changes, vm.members.addresses()
    )


def test_decode_restores_the_encoded_response():
    homes = frozenset({ids.RegionId("a"), ids.RegionId("b")})
    response = _make_response(
        builders.route(regions=homes), builders.route(timeout=None)
    )
    assert response.news.catalogue is not None
    assert (
        _replication_codec.decode(
            _replication_codec.ReplicationEncoder().encode(response)
        )
        == response
    )


def test_response_without_a_catalogue_is_restored():
    response = _make_response()
    response = _replication_codec.ReplicationResponse(
        msgspec.structs.replace(response.news, catalogue=None), ()
    )
    assert (
        _replication_codec.decode(
            _replication_codec.ReplicationEncoder().encode(response)
        )
        == response
    )


def test_catalogue_is_compressed_once_per_version(monkeypatch):
    compressed_types = []
    compress = _replication_codec._compress

    def count_and_compress(value):
        compressed_types.append(type(value))
        return compress(value)

    encoder = _replication_codec.ReplicationEncoder()
    monkeypatch.setattr(_replication_codec, "_compress", count_and_compress)
    for version in (3, 3, 4, 4):
        response = _make_response(version=version)
        decoded = _replication_codec.decode(encoder.encode(response))
        assert decoded.news.catalogue is not None
        assert decoded.news.catalogue.version == version
    assert compressed_types.count(entry.Catalogue) == 2


# Guards against VMs that cannot replicate changes while a fleet is upgraded.
def test_json_of_the_previous_version_is_decoded():
    response = _make_response()
    data = msgspec.json.encode({"news": response.news, "vms": response.vms})
    assert _replication_codec.decode(data, b"application/json") == response


_ENCODED = _replication_codec.ReplicationEncoder().encode(_make_response())


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"{}", id="json"),
        pytest.param(_ENCODED[:-1], id="truncated"),
        pytest.param(msgspec.msgpack.encode([1, 2, 3]), id="other-types"),
    ],
)
def test_malformed_response_is_rejected(data):
    with pytest.raises(_replication_codec.ReplicationDecodeError):
        _replication_codec.decode(data)


@pytest.mark.parametrize(
    "packed",
    [
        pytest.param(b"no zlib", id="not-compressed"),
        pytest.param(
            zlib.compress(bytes(9_000))[:-5], id="compressed-truncated"
        ),
        pytest.param(zlib.compress(b"no catalogue"), id="other-content"),
        pytest.param(zlib.compress(bytes(2_000)), id="too-large"),
    ],
)
def test_malformed_catalogue_is_rejected(packed, monkeypatch):
    response = _make_response()
    changes = msgspec.structs.replace(response.news, catalogue=None)
    rest = _replication_codec._compress(changes)
    monkeypatch.setattr(_replication_codec, "_MAX_DECOMPRESSED_BYTES", 1_000)
    data = msgspec.msgpack.encode(
        _replication_codec._CompressedResponse(rest, packed, ())
    )
    with pytest.raises(_replication_codec.ReplicationDecodeError):
        _replication_codec.decode(data)


class _OldPosition(msgspec.Struct, frozen=True, array_like=True):
    """The position as the previous version knows it."""

    operators: int = 0
    servers: int = 0


class _OldChanges(msgspec.Struct, frozen=True):
    """Changes as the previous version knows them."""

    position: _OldPosition
    catalogue: entry.Catalogue | None
    evacuated: frozenset[str]
    entries: tuple[entry.ServerEntry, ...]
    gone: tuple[str, ...]
    whole: bool


# Guards against VMs that cannot replicate changes while a fleet is upgraded.
def test_changes_are_exchanged_with_the_previous_version():
    news = _make_response().news
    data = msgspec.msgpack.encode(news)
    old = msgspec.msgpack.decode(data, type=_OldChanges)
    assert old.position == _OldPosition(9, news.position.servers)
    assert old.entries == news.entries
    back = msgspec.msgpack.decode(
        msgspec.msgpack.encode(old), type=entry.ReplicatedChanges
    )
    assert back.streams == tuple(entry.Stream)
    assert back.position.known_evacuations == 9
    receiver = builders.entry_vm(vm="vm-2")
    receiver.on_replicated_changes(back, builders.ms(10))
    assert receiver.log.position.operators == 9
    assert receiver.log.position.evacuations == 9
