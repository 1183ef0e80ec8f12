"""Log lines are bounded and never wait for a reader."""

import datetime
import os
import pathlib

import eliot
import msgspec

from dragonflystack import clock
from dragonflystack.entryd import _events
from dragonflystack.entryd import _journal

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


def _read_lines(fd):
    data = b""
    os.set_blocking(fd, False)
    try:
        while chunk := os.read(fd, 65536):
            data += chunk
    except BlockingIOError:
        pass
    return [msgspec.json.decode(line) for line in data.splitlines()]


def _journal_on_pipe():
    reader, writer = os.pipe()
    now = clock.ManualClock(_START)
    journal = _journal.Journal(writer, now)
    eliot.add_destinations(journal._take)
    return journal, now, reader


def _close(journal):
    eliot.remove_destination(journal._take)


def test_lines_beyond_the_bound_are_counted_by_kind():
    journal, now, reader = _journal_on_pipe()
    for i in range(_journal.MAX_ROUTINE_LINES_PER_SECOND + 25):
        journal.note(_events.Event.REQUEST_SERVED, request=str(i))
    journal.note(_events.Event.REQUEST_FAILED, request="failed")
    now.advance(datetime.timedelta(seconds=1.5))
    journal.note(_events.Event.STOPPING)
    journal.flush()
    lines = _read_lines(reader)
    _close(journal)
    kinds = [line["message_type"] for line in lines]
    assert kinds.count("request-served") == (
        _journal.MAX_ROUTINE_LINES_PER_SECOND
    )
    assert "request-failed" in kinds
    dropped = next(x for x in lines if x["message_type"] == "lines-dropped")
    assert dropped["kinds"] == {"request-served": 25}


def test_a_reader_that_does_not_read_is_not_waited_for():
    journal, now, reader = _journal_on_pipe()
    for _ in range(40):
        for _i in range(100):
            journal.note(_events.Event.REQUEST_FAILED, request="x" * 200)
        journal.flush()
        now.advance(datetime.timedelta(seconds=1.5))
    _close(journal)
    assert journal._buffered <= 262_144


def test_every_event_is_explained_to_operators():
    page = pathlib.Path(__file__).parents[3] / "docs" / "OPERATIONS.md"
    text = page.read_text()
    missing = [e.value for e in _events.Event if f"`{e.value}`" not in text]
    assert not missing
