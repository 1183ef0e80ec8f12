import itertools
import tracemalloc

import hypothesis
from hypothesis import strategies
import pytest

from dragonflystack import _body_buffer

_BODY_BYTES = 400_000


@hypothesis.given(strategies.lists(strategies.binary(max_size=3_000)))
def test_body_is_the_parts_in_their_order(parts):
    body = _body_buffer.BodyBuffer()
    for part in parts:
        body.append(part)
    assert body.size == sum(map(len, parts))
    assert body.take() == b"".join(parts)
    assert (body.size, body.take()) == (0, b"")


# Guards against parts of one byte that take forty times their size, so that the
# limits on bodies do not limit the memory.
@pytest.mark.parametrize("sizes", [(1,), (7,), (1_023,), (1_024, 1), (65_536,)])
def test_body_takes_little_more_memory_than_its_bytes(sizes):
    body = _body_buffer.BodyBuffer()
    tracemalloc.start()
    try:
        for size in itertools.cycle(sizes):
            body.append(bytes(bytearray(size)))
            if body.size >= _BODY_BYTES:
                break
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held <= 1.25 * body.size + 65_536
