import pytest

from dragonflystack import _body_memory


class _Body:
    """A body that is being received."""

    def __init__(self, memory):
        self.is_evicted = False
        self.holding = memory.open(self._evict)

    def _evict(self):
        self.is_evicted = True


def test_largest_incomplete_body_is_evicted():
    memory = _body_memory.BodyMemory(100)
    bodies = [_Body(memory) for _ in range(3)]
    for body, size in zip(bodies, (30, 50, 20), strict=True):
        body.holding.resize(size)
    assert not any(body.is_evicted for body in bodies)
    bodies[2].holding.resize(21)
    assert [body.is_evicted for body in bodies] == [False, True, False]
    assert memory.held_bytes == 51 and memory.evicted == 1


def test_pinned_body_is_not_evicted():
    memory = _body_memory.BodyMemory(100)
    first, second = _Body(memory), _Body(memory)
    first.holding.resize(90)
    first.holding.pin()
    second.holding.resize(11)
    assert second.is_evicted and not first.is_evicted
    first.holding.close()
    assert memory.held_bytes == 0


@pytest.mark.parametrize("pinned", [True, False])
def test_body_is_counted_once_and_only_until_it_is_closed(pinned):
    memory = _body_memory.BodyMemory(100)
    body = _Body(memory)
    body.holding.resize(10)
    if pinned:
        body.holding.pin()
    body.holding.close()
    body.holding.close()
    body.holding.resize(50)
    assert memory.held_bytes == 0


@pytest.mark.parametrize(
    ("size", "admitted"), [(40, True), (41, False), (59, True), (61, False)]
)
def test_body_that_would_be_evicted_is_not_admitted(size, admitted):
    """It is if a larger one would be evicted in its place."""
    memory = _body_memory.BodyMemory(100)
    held = _Body(memory)
    held.holding.resize(60)
    if size < 50:
        held.holding.pin()
    assert memory.admits(size) is admitted


def test_invalid_limit_is_refused():
    with pytest.raises(ValueError, match="limit on bodies: 0"):
        _body_memory.BodyMemory(0)
