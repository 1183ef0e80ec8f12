import datetime

import msgspec
import pytest

from dragonflystack import config
from dragonflystack import ids
from dragonflystack import promises
from dragonflystack.config.tests import documents

_NOW = datetime.timedelta(seconds=1)
_UTC = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_FIRST = config.make_first(
    documents.document(), ids.ChangeId("first"), documents.OWNER, _UTC
)


def _head(version: int) -> config.Head:
    assert _FIRST.write.value is not None
    head = msgspec.json.decode(_FIRST.write.value, type=config.Head)
    return msgspec.structs.replace(head, version=ids.DocumentVersion(version))


def _adoption() -> config.Adoption:
    return config.Adoption(ids.VmId("v"), promises.Ledger(strict=True))


@pytest.mark.parametrize(
    ("versions", "expected"),
    [((1, 2), 2), ((2, 1), 2), ((3, 3, 1), 3)],
)
def test_adopted_version_never_decreases(versions, expected):
    adoption = _adoption()
    for version in versions:
        adoption.on_head(_head(version), _FIRST.objects, _NOW)
    assert adoption.version == expected


def test_newer_version_needs_no_unchanged_objects():
    adoption = _adoption()
    assert len(adoption.missing(_head(1))) == 4
    assert adoption.on_head(_head(1), _FIRST.objects, _NOW)
    assert adoption.missing(_head(2)) == ()
    assert adoption.document == documents.document()


@pytest.mark.parametrize("corrupt_body", [b"", b"{}", None])
def test_version_with_missing_or_corrupt_body_is_not_adopted(corrupt_body):
    adoption = _adoption()
    digest = _head(1).sections[documents.ORDER].digest
    fetched = dict(_FIRST.objects)
    if corrupt_body is None:
        del fetched[digest]
    else:
        fetched[digest] = corrupt_body
    assert not adoption.on_head(_head(1), fetched, _NOW)
    assert adoption.version == 0


def test_serving_below_the_accepted_version_is_a_breach():
    ledger = promises.Ledger()
    adoption = config.Adoption(ids.VmId("v"), ledger)
    adoption.on_head(_head(1), _FIRST.objects, _NOW)
    assert adoption.check_accepted(ids.DocumentVersion(1), _NOW)
    assert not adoption.check_accepted(ids.DocumentVersion(2), _NOW)
