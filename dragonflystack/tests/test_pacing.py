import pytest

from dragonflystack import _pacing

_CHUNK = b"1\r\nx\r\n"
_PARTS_PER_BYTE = 1 / len(_CHUNK)


class _Loop:
    """An event loop whose timers run when the test says so."""

    def __init__(self):
        self.now_s = 0.0
        self.timers = []

    def time(self):
        return self.now_s

    def call_later(self, delay, callback):
        timer = _Timer(self.now_s + delay, callback)
        self.timers.append(timer)
        return timer

    def run_next(self):
        timer = min(self.timers, key=lambda each: each.at_s)
        self.timers.remove(timer)
        self.now_s = timer.at_s
        if not timer.is_cancelled:
            timer.callback()


class _Timer:
    def __init__(self, at_s, callback):
        self.at_s = at_s
        self.callback = callback
        self.is_cancelled = False

    def cancel(self):
        self.is_cancelled = True


class _Connection:
    """A connection that parses chunks of one byte."""

    def __init__(self, pacer, loop, parts_per_byte=_PARTS_PER_BYTE):
        self.parsed = []
        self.is_paused = False
        self._parts_per_byte = parts_per_byte
        self.feed = _pacing.PacedFeed(
            pacer, self._parse, self._pause, self._resume, loop
        )

    def _parse(self, data):
        self.parsed.append(data)
        return int(len(data) * self._parts_per_byte)

    def _pause(self):
        self.is_paused = True

    def _resume(self):
        self.is_paused = False


# Guards against a few connections with tiny chunks that keep the VM from
# answering all others.
def test_tiny_chunks_are_parsed_at_a_limited_rate():
    loop, pacer = _Loop(), _pacing.Pacer()
    conns = [_Connection(pacer, loop) for _ in range(8)]
    data = _CHUNK * 40_000
    for conn in conns:
        conn.feed.feed(data)
        assert len(conn.parsed) == 1 and conn.is_paused
    while loop.timers:
        loop.run_next()
    parts = len(conns) * 40_000
    assert loop.now_s >= 0.9 * parts / _pacing.MAX_PARTS_PER_SECOND
    assert max(len(p) for c in conns for p in c.parsed) <= _pacing.SLICE_BYTES
    for conn in conns:
        assert b"".join(conn.parsed) == data and not conn.is_paused


@pytest.mark.parametrize("size", [1, 100, 16_384, 1_000_000])
def test_large_parts_are_not_delayed(size):
    loop = _Loop()
    conn = _Connection(_pacing.Pacer(), loop, 1 / 16_384)
    for _ in range(100):
        conn.feed.feed(b"x" * size)
    assert not loop.timers and not conn.is_paused


def test_bytes_that_arrive_during_a_pause_keep_their_order():
    loop = _Loop()
    conn = _Connection(_pacing.Pacer(), loop)
    data = bytes(range(256)) * 512
    conn.feed.feed(data)
    conn.feed.feed(b"end")
    while loop.timers:
        loop.run_next()
    assert b"".join(conn.parsed) == data + b"end"


def test_closed_feed_parses_nothing_more():
    loop = _Loop()
    conn = _Connection(_pacing.Pacer(), loop)
    conn.feed.feed(_CHUNK * 40_000)
    conn.feed.close()
    while loop.timers:
        loop.run_next()
    assert len(conn.parsed) == 1
