import datetime

import msgspec
import pytest

from dragonflystack import config
from dragonflystack import ids
from dragonflystack.config.tests import documents
from dragonflystack.config.tests import store as store_lib

_UTC = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_V0 = ids.DocumentVersion(0)
_V1 = ids.DocumentVersion(1)
_V2 = ids.DocumentVersion(2)
_NEW = ids.SectionId("services/new")


@pytest.fixture
def store():
    store = store_lib.Store()
    first = config.make_first(
        documents.document(), ids.ChangeId("first"), documents.OWNER, _UTC
    )
    assert store.put(first)
    return store


def _body(window_s: float, name: str = "order") -> bytes:
    return msgspec.json.encode(documents.service(name, window_s))


def _change(
    name: str = "a",
    team: ids.TeamId = documents.TEAM,
    section: ids.SectionId = documents.ORDER,
    base: ids.DocumentVersion = _V1,
    body: bytes | None = None,
) -> config.Change:
    return config.Change(ids.ChangeId(name), team, section, base, body)


def _prepare(store: store_lib.Store, change: config.Change) -> config.Decision:
    return config.prepare(change, store.head_row, store.bodies(), _UTC)


def _apply(store: store_lib.Store, change: config.Change) -> config.Prepared:
    prepared = _prepare(store, change)
    assert isinstance(prepared, config.Prepared), prepared
    assert store.put(prepared)
    return prepared


def test_change_updates_only_its_section(store):
    prepared = _apply(store, _change(body=_body(30.0)))
    assert prepared.version == _V2
    assert len(prepared.objects) == 2
    section = store.head.sections[documents.ORDER]
    assert (section.version, section.change) == (_V2, "a")
    assert store.head.sections[documents.FLEET].version == _V1


def test_concurrent_changes_to_different_sections_both_succeed(store):
    outdated = _prepare(store, _change("a", body=_body(30.0)))
    assert isinstance(outdated, config.Prepared)
    fleet = msgspec.json.encode(
        config.Fleet(owner=documents.OWNER, retry_budget=0.2)
    )
    _apply(store, _change("b", documents.OWNER, documents.FLEET, body=fleet))
    assert not store.put(outdated)
    _apply(store, _change("a", body=_body(30.0)))
    assert store.head.version == 3


def test_concurrent_change_to_the_same_section_is_refused_with_a_diff(store):
    _apply(store, _change("a", body=_body(30.0)))
    refused = _prepare(store, _change("b", body=_body(45.0)))
    assert isinstance(refused, config.SectionChanged)
    assert '-    "window_s": 30.0' in refused.difference
    assert '+    "window_s": 45.0' in refused.difference


@pytest.mark.parametrize(
    ("change", "owner"),
    [
        (_change(team=documents.OWNER, body=_body(30.0)), documents.TEAM),
        (_change(team=documents.OWNER), documents.TEAM),
        (
            _change(section=documents.FLEET, body=b'{"owner": "shop"}'),
            documents.OWNER,
        ),
        (
            _change(
                team=documents.OWNER,
                section=_NEW,
                base=_V0,
                body=_body(30.0, "new"),
            ),
            documents.TEAM,
        ),
    ],
    ids=["edit", "remove", "take over", "add for another team"],
)
def test_change_by_another_team_is_refused(store, change, owner):
    refused = _prepare(store, change)
    assert refused == config.NotOwner(change.section, owner)


def test_owner_can_add_hand_over_and_remove_a_section(store):
    _apply(store, _change("a", section=_NEW, base=_V0, body=_body(9.0, "new")))
    handed_over = msgspec.structs.replace(
        documents.service("new", 9.0), owner=documents.OWNER
    )
    body = msgspec.json.encode(handed_over)
    _apply(store, _change("b", section=_NEW, base=_V2, body=body))
    base = store.head.sections[_NEW].version
    removal = _change("c", documents.OWNER, _NEW, base)
    _apply(store, removal)
    assert _NEW not in store.head.sections


@pytest.mark.parametrize(
    ("section", "body", "reason"),
    [
        (documents.ORDER, b"{", "services/order"),
        (documents.ORDER, b"{}", "section services/order: Object missing"),
        (
            documents.ORDER,
            _body(30.0).replace(b"30.0", b'"x"'),
            "section services/order: Expected `float`, got `str` - at "
            "`$.shift_cap.window_s`",
        ),
        (documents.ORDER, _body(-1.0), "window_s"),
        (ids.SectionId("elsewhere"), _body(1.0), "elsewhere"),
    ],
)
def test_invalid_change_is_refused_with_the_path_of_the_error(
    store, section, body, reason
):
    base = _V1 if section == documents.ORDER else _V0
    refused = _prepare(store, _change(section=section, base=base, body=body))
    assert isinstance(refused, config.Invalid)
    assert reason in refused.reason


def test_unchanged_body_writes_nothing(store):
    decision = _prepare(store, _change(body=_body(60.0)))
    assert decision == config.Nothing(_V1)


def _settle(
    store: store_lib.Store, change: config.Change
) -> ids.DocumentVersion | None:
    settlement = config.Settlement(change)
    step: object = config.ReadRecord(store.head.record)
    while isinstance(step, config.ReadRecord):
        data = store.objects[step.digest]
        record = msgspec.json.decode(data, type=config.ChangeRecord)
        step = settlement.on_record(record)
    assert isinstance(step, config.Settled)
    return step.version


def test_change_with_lost_response_is_found_after_further_changes(store):
    lost = _change("a", body=_body(30.0))
    _apply(store, lost)
    _apply(store, _change("b", base=_V2, body=_body(31.0)))
    assert _settle(store, lost) == _V2
    assert _settle(store, _change("never", body=_body(30.0))) is None
