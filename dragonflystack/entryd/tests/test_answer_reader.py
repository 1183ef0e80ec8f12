"""Tests the parsing of answers and its limits."""

import itertools
import tracemalloc

import hypothesis
from hypothesis import strategies
import pytest

from dragonflystack.entryd import _answer_reader

_LIMITS = _answer_reader.AnswerLimits(body_bytes=200_000)
_MAX_MEMORY_BYTES = 2_000_000
"""Several times the sum of the limits. Without limits, the endless answers
below used 58 to 383 MB in 1.5 s."""

_OUTGOING = _answer_reader.OutgoingRequest(b"", b"", b"1")
_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _STATUS_LINE + b"transfer-encoding: chunked\r\n\r\n"
_OK = b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 2\r\n\r\nhi"
_OTHER_ANSWER = _OK.replace(b"x-id: 1", b"x-id: 9")
_LINE = b"a: b\r\n"


def _reader(limits=_LIMITS):
    reader = _answer_reader.AnswerReader(b"x-id", limits)
    reader.expect_answer(_OUTGOING)
    return reader


@pytest.mark.parametrize(
    ("start", "endless"),
    [
        pytest.param(_STATUS_LINE, _LINE * 5_000, id="header lines"),
        pytest.param(_STATUS_LINE + b"a: ", b"b" * 65_536, id="a header"),
        pytest.param(_STATUS_LINE, b"b" * 65_536, id="a header's name"),
        pytest.param(b"HTTP/1.1 200 ", b"b" * 65_536, id="a reason phrase"),
        pytest.param(
            b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000, id="interim answers"
        ),
        pytest.param(
            b"", _OTHER_ANSWER * 1_000, id="answers to other requests"
        ),
        pytest.param(_CHUNKED + b"1;", b"b" * 65_536, id="a chunk extension"),
        pytest.param(
            _CHUNKED,
            b"1;" + b"b" * 200 + b"\r\nx\r\n",
            id="chunk extensions",
        ),
        pytest.param(_CHUNKED + b"0\r\n", _LINE * 5_000, id="trailers"),
        pytest.param(_CHUNKED + b"0\r\na: ", b"b" * 65_536, id="a trailer"),
        pytest.param(
            _CHUNKED, b"4000\r\n" + b"x" * 0x4000 + b"\r\n", id="chunks"
        ),
        pytest.param(_STATUS_LINE + b"\r\n", b"x" * 65_536, id="a body"),
        pytest.param(b"", b"\r\n" * 30_000, id="empty lines"),
    ],
)
def test_endless_answer_is_rejected_within_limits(start, endless):
    reader = _reader()
    fed = 0
    tracemalloc.start()
    try:
        with pytest.raises(_answer_reader.CorruptError):
            for data in itertools.chain([start], itertools.repeat(endless)):
                fed += len(data)
                assert reader.feed(data) is None
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert not reader.is_reusable
    assert reader.buffered_bytes == 0
    assert peak_bytes < _MAX_MEMORY_BYTES
    max_bytes = _LIMITS.head_bytes + _LIMITS.body_bytes
    assert fed <= max_bytes * (1 + _LIMITS.framing_per_body_byte)


def test_body_in_one_byte_chunks_is_read():
    reader = _reader()
    head = _STATUS_LINE + b"x-id: 1\r\ntransfer-encoding: chunked\r\n\r\n"
    assert reader.feed(head) is None
    assert reader.feed(b"1\r\nx\r\n" * 50_000) is None
    answer = reader.feed(b"0\r\n\r\n")
    assert answer is not None
    assert answer.body == b"x" * 50_000


# Guards against answers in tiny chunks that hold many times the bytes that are
# counted.
def test_small_chunks_take_little_more_memory_than_their_bytes():
    reader = _reader()
    reader.feed(_CHUNKED)
    chunks = b"2\r\nxy\r\n" * 1_000
    tracemalloc.start()
    try:
        while reader.buffered_bytes < _LIMITS.body_bytes // 2:
            reader.feed(chunks)
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held <= 1.25 * reader.buffered_bytes + 65_536


def test_trailers_are_not_headers():
    answer = _reader().feed(_CHUNKED + b"1\r\nx\r\n0\r\nretry-after: 9\r\n\r\n")
    assert answer is not None
    assert answer.header(b"retry-after") is None


def test_limits_apply_to_each_request_separately():
    reader = _reader()
    padding = b"p: " + b"x" * 40_000 + b"\r\n"
    for _ in range(5):
        reader.expect_answer(_OUTGOING)
        answer = reader.feed(_OK.replace(b"x-id", padding + b"x-id"))
        assert answer is not None


@pytest.mark.parametrize("field", ["body_bytes", "head_bytes", "header_lines"])
def test_invalid_limit_is_named_in_the_error(field):
    with pytest.raises(ValueError, match=f"{field}: 0"):
        _answer_reader.AnswerLimits(**{field: 0})


_INTERIM = b"HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n"
_CHUNKED_ANSWER = _STATUS_LINE + (
    b"x-id: 1\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
)
_UNFRAMED = _STATUS_LINE + b"x-id: 1\r\n\r\nhi"


# Guards against a success with an empty or short body (MIXED), because a
# backend server stops within its answer's head and closes the connection.
@pytest.mark.parametrize(
    ("answer", "whole_from"),
    [
        pytest.param(_OK, len(_OK), id="with a length"),
        pytest.param(_CHUNKED_ANSWER, len(_CHUNKED_ANSWER), id="with chunks"),
        pytest.param(
            _INTERIM + _OK, len(_INTERIM + _OK), id="after an interim answer"
        ),
        pytest.param(
            _OTHER_ANSWER + _OK,
            len(_OTHER_ANSWER + _OK),
            id="after another answer",
        ),
        pytest.param(_UNFRAMED, len(_UNFRAMED) - 2, id="without a length"),
    ],
)
@pytest.mark.parametrize("earlier", [0, 1], ids=["new", "kept"])
def test_answer_cut_off_anywhere_is_not_complete(answer, whole_from, earlier):
    for cut in range(whole_from):
        reader = _reader()
        for _ in range(earlier):
            assert reader.feed(_OK) is not None
            reader.expect_answer(_OUTGOING)
        assert reader.feed(answer[:cut]) is None
        with pytest.raises(
            (_answer_reader.CorruptError, _answer_reader.BrokenError)
        ):
            reader.finish(None)


_FRAGMENTS = strategies.sampled_from(
    [
        _OK,
        _OTHER_ANSWER,
        _CHUNKED,
        _STATUS_LINE,
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 503 no\r\nretry-after: 4\r\nx-id: 1\r\n\r\n",
        b"content-length: 3\r\n",
        b"transfer-encoding: chunked\r\n",
        b"x-id: 1\r\n",
        b"\r\n",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
        b"\x00\xff",
    ]
)


@hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
@hypothesis.given(
    fragments=strategies.lists(_FRAGMENTS | strategies.binary(max_size=9)),
    part_sizes=strategies.lists(strategies.integers(1, 60), min_size=1),
)
def test_result_does_not_depend_on_how_bytes_are_split(fragments, part_sizes):
    data = b"".join(fragments)
    sizes = itertools.cycle(part_sizes)
    parts = []
    rest = data
    while rest:
        size = next(sizes)
        parts.append(rest[:size])
        rest = rest[size:]
    assert _read(parts) == _read([data])


def _read(parts):
    """Returns the first answer in the parts, or the kind of error."""
    reader = _reader()
    try:
        for part in parts:
            answer = reader.feed(part)
            if answer is not None:
                return answer
        return reader.finish(None)
    except _answer_reader.CorruptError:
        return "corrupt"
    except _answer_reader.BrokenError:
        return "broken"
