"""What VMs tell each other survives the way, or is refused whole."""

import zlib

import msgspec
import pytest

from dragonflystack import entry
from dragonflystack import ids
from dragonflystack.entry.tests import builders
from dragonflystack.entryd import _told


def _told_by(*routes, version=3):
    """Returns the news of a VM with that catalogue."""
    vm = builders.entry_vm(builders.server("s1"), builders.server("s2"))
    vm.on_catalogue(builders.catalogue(*routes, version=version))
    vm.log.on_operators(9)
    vm.dispatch.on_evacuated(
        frozenset({ids.FailureDomainId("a1")}), builders.ms(0)
    )
    news = vm.changes_since(entry.Position())
    return _told.Told(news, vm.members.addresses())


def test_what_was_told_is_read_whole():
    homes = frozenset({ids.RegionId("a"), ids.RegionId("b")})
    told = _told_by(builders.route(regions=homes), builders.route(timeout=None))
    assert told.news.catalogue is not None
    assert _told.decode(_told.Packer().encode(told)) == told


def test_news_without_a_catalogue_are_read_whole():
    told = _told_by()
    told = _told.Told(msgspec.structs.replace(told.news, catalogue=None), ())
    assert _told.decode(_told.Packer().encode(told)) == told


def test_a_catalogue_is_packed_once_a_version(monkeypatch):
    packed = []
    pack = _told._pack

    def counted(value):
        packed.append(type(value))
        return pack(value)

    packer = _told.Packer()
    monkeypatch.setattr(_told, "_pack", counted)
    for version in (3, 3, 4, 4):
        told = _told_by(version=version)
        read = _told.decode(packer.encode(told))
        assert read.news.catalogue is not None
        assert read.news.catalogue.version == version
    assert packed.count(entry.Catalogue) == 2


# Guards against a fleet that cannot exchange news while it is upgraded.
def test_what_the_version_before_told_is_read():
    told = _told_by()
    data = msgspec.json.encode({"news": told.news, "vms": told.vms})
    assert _told.decode(data, b"application/json") == told


_WHOLE = _told.Packer().encode(_told_by())


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"{}", id="json"),
        pytest.param(_WHOLE[:-1], id="cut-off"),
        pytest.param(msgspec.msgpack.encode([1, 2, 3]), id="other-types"),
    ],
)
def test_what_cannot_be_read_is_refused(data):
    with pytest.raises(_told.ToldError):
        _told.decode(data)


@pytest.mark.parametrize(
    "packed",
    [
        pytest.param(b"no zlib", id="not-packed"),
        pytest.param(zlib.compress(bytes(9_000))[:-5], id="packed-cut-off"),
        pytest.param(zlib.compress(b"no catalogue"), id="other-content"),
        pytest.param(zlib.compress(bytes(2_000)), id="too-large"),
    ],
)
def test_a_catalogue_that_cannot_be_read_is_refused(packed, monkeypatch):
    told = _told_by()
    news = msgspec.structs.replace(told.news, catalogue=None)
    rest = _told._pack(news)
    monkeypatch.setattr(_told, "_MAX_UNPACKED_BYTES", 1_000)
    data = msgspec.msgpack.encode(_told._PackedBody(rest, packed, ()))
    with pytest.raises(_told.ToldError):
        _told.decode(data)
