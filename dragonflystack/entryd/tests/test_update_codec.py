"""Tests that updates are decoded completely or rejected."""

import zlib

import msgspec
import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry.tests import builders
from dragonflystack.entryd import _update_codec


def _make_update(*routes, version=3):
    """Returns the update of a VM whose catalogue has the given routes."""
    vm = builders.entry_vm(builders.server("s1"), builders.server("s2"))
    vm.on_catalogue(builders.catalogue(*routes, version=version))
    vm.log.on_operators(9)
    vm.dispatch.on_evacuated(
        frozenset({ids.FailureDomainId("a1")}), builders.ms(0)
    )
    news = vm.changes_since(entry.Position())
    return _update_codec.PeerUpdate(news, vm.members.addresses())


def test_decode_restores_the_encoded_update():
    homes = frozenset({ids.RegionId("a"), ids.RegionId("b")})
    update = _make_update(
        builders.route(regions=homes), builders.route(timeout=None)
    )
    assert update.news.catalogue is not None
    assert (
        _update_codec.decode(_update_codec.UpdateEncoder().encode(update))
        == update
    )


def test_update_without_a_catalogue_is_restored():
    update = _make_update()
    update = _update_codec.PeerUpdate(
        msgspec.structs.replace(update.news, catalogue=None), ()
    )
    assert (
        _update_codec.decode(_update_codec.UpdateEncoder().encode(update))
        == update
    )


def test_catalogue_is_compressed_once_per_version(monkeypatch):
    compressed_types = []
    compress = _update_codec._compress

    def count_and_compress(value):
        compressed_types.append(type(value))
        return compress(value)

    encoder = _update_codec.UpdateEncoder()
    monkeypatch.setattr(_update_codec, "_compress", count_and_compress)
    for version in (3, 3, 4, 4):
        update = _make_update(version=version)
        decoded = _update_codec.decode(encoder.encode(update))
        assert decoded.news.catalogue is not None
        assert decoded.news.catalogue.version == version
    assert compressed_types.count(entry.Catalogue) == 2


# Guards against VMs that cannot exchange updates while a fleet is upgraded.
def test_json_of_the_previous_version_is_decoded():
    update = _make_update()
    data = msgspec.json.encode({"news": update.news, "vms": update.vms})
    assert _update_codec.decode(data, b"application/json") == update


_ENCODED = _update_codec.UpdateEncoder().encode(_make_update())


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"{}", id="json"),
        pytest.param(_ENCODED[:-1], id="truncated"),
        pytest.param(msgspec.msgpack.encode([1, 2, 3]), id="other-types"),
    ],
)
def test_malformed_update_is_rejected(data):
    with pytest.raises(_update_codec.UpdateDecodeError):
        _update_codec.decode(data)


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
    update = _make_update()
    news = msgspec.structs.replace(update.news, catalogue=None)
    rest = _update_codec._compress(news)
    monkeypatch.setattr(_update_codec, "_MAX_DECOMPRESSED_BYTES", 1_000)
    data = msgspec.msgpack.encode(
        _update_codec._CompressedUpdate(rest, packed, ())
    )
    with pytest.raises(_update_codec.UpdateDecodeError):
        _update_codec.decode(data)
