import collections
import pathlib

import msgspec
import pytest

from dragonflystack import ids
from standins import caller
from standins import experiment
from standins import record

_EXAMPLES = sorted(pathlib.Path("examples/experiments").glob("*.json"))
_VM = ids.VmId("vm-1")


@pytest.mark.parametrize("path", _EXAMPLES, ids=lambda path: path.stem)
def test_the_examples_are_valid(path):
    chosen = experiment.load_experiment(path)
    assert pathlib.Path(chosen.document).exists()


def test_an_unknown_event_is_refused(tmp_path):
    path = tmp_path / "e.json"
    event = {"type": "explode", "at_s": 1}
    content = {"document": "d", "seconds": 1, "requests_s": 1}
    path.write_bytes(msgspec.json.encode(content | {"events": [event]}))
    with pytest.raises(msgspec.ValidationError, match="explode"):
        experiment.load_experiment(path)


def _seen(*results: caller.Result) -> record.Seen:
    seen = record.Seen(lambda: 1.0)
    for res in results:
        seen.on_result(res, due_s=1.0)
    return seen


_SERVED = caller.Result("served", (_VM,), key="k")
_NOT_RUN = caller.Result("not-run", (_VM,), key="k")
_FOREIGN = caller.Result("served", (_VM,), is_own=False)
_BROKEN = caller.Result(caller.BROKEN, (_VM,), (_VM,))


@pytest.mark.parametrize(
    ("result", "runs", "drains", "broken_promise"),
    [
        (_SERVED, {"k": 1}, {_VM: (0, 1.0)}, None),
        (_SERVED, {"k": 2}, {}, "at most once"),
        (_NOT_RUN, {"k": 1}, {}, "not run means not run"),
        (_NOT_RUN, {}, {}, None),
        (_FOREIGN, {}, {}, "own whole answer"),
        (_BROKEN, {}, {_VM: (0, 1.0)}, "planned stop"),
        (_SERVED, {}, {_VM: (1, 1.0)}, "planned stop"),
        (_BROKEN, {}, {}, "without a fault"),
    ],
)
def test_a_broken_promise_is_named(result, runs, drains, broken_promise):
    seen = _seen(result)
    seen.runs = collections.Counter(runs)
    seen.drains = drains
    failed = [
        c.promise for c in record.make_report(seen, 0.3).checks if not c.held
    ]
    assert len(failed) == (broken_promise is not None)
    assert all(broken_promise in promise for promise in failed)


def test_a_breach_that_the_product_counted_is_named():
    seen = _seen(_SERVED)
    seen.breaches = {"shift-cap": 0, "region-capacity": 1}
    checks = record.make_report(seen, 0.3).checks
    failed = [c.promise for c in checks if not c.held]
    assert failed == ["the product's own checks of its promises held"]
