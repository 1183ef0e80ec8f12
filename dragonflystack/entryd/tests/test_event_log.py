"""Tests that log lines are rate limited and never block the process."""

import datetime
import logging
import os
import pathlib
import sys

import eliot
import msgspec

from dragonflystack import clock
from dragonflystack.entryd import _event_log
from dragonflystack.entryd import _events

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


def _log_to_pipe():
    reader, writer = os.pipe()
    now = clock.ManualClock(_START)
    event_log = _event_log.EventLog(writer, now)
    eliot.add_destinations(event_log._enqueue)
    return event_log, now, reader


def _close(event_log):
    eliot.remove_destination(event_log._enqueue)


def test_lines_above_the_rate_limit_are_counted_by_kind():
    event_log, now, reader = _log_to_pipe()
    for i in range(_event_log.MAX_ROUTINE_LINES_PER_SECOND + 25):
        event_log.log_event(_events.Event.REQUEST_SERVED, request=str(i))
    event_log.log_event(_events.Event.REQUEST_FAILED, request="failed")
    now.advance(datetime.timedelta(seconds=1.5))
    event_log.log_event(_events.Event.STOPPING)
    event_log.flush()
    lines = _read_lines(reader)
    _close(event_log)
    kinds = [line["message_type"] for line in lines]
    assert kinds.count("request-served") == (
        _event_log.MAX_ROUTINE_LINES_PER_SECOND
    )
    assert "request-failed" in kinds
    dropped = next(x for x in lines if x["message_type"] == "lines-dropped")
    assert dropped["kinds"] == {"request-served": 25}


def test_stalled_reader_does_not_block_or_grow_the_buffer():
    event_log, now, reader = _log_to_pipe()
    for _ in range(40):
        for _i in range(100):
            event_log.log_event(_events.Event.REQUEST_FAILED, request="x" * 200)
        event_log.flush()
        now.advance(datetime.timedelta(seconds=1.5))
    _close(event_log)
    assert event_log._buffered_bytes <= 262_144


def test_every_event_is_described_in_the_operations_page():
    page = pathlib.Path(__file__).parents[3] / "docs" / "OPERATIONS.md"
    text = page.read_text()
    missing = [e.value for e in _events.Event if f"`{e.value}`" not in text]
    assert not missing


# Guards against a process that hangs, because the reader of standard error has
# stalled while a library writes its warnings there.
def test_messages_of_libraries_are_lines_of_the_log():
    event_log, _, reader = _log_to_pipe()
    _close(event_log)
    event_log.start()
    logger = logging.getLogger("uvicorn.error")
    for _ in range(2 * _event_log.MAX_ROUTINE_LINES_PER_SECOND):
        logger.warning("Invalid HTTP request received.")
    event_log.flush()
    lines = _read_lines(reader)
    _close(event_log)
    assert lines[0]["text"] == "Invalid HTTP request received."
    assert lines[0]["logger"] == "uvicorn.error"
    assert len(lines) <= 2 * _event_log.MAX_ROUTINE_LINES_PER_SECOND


def test_exceptions_in_libraries_are_logged_with_their_traceback():
    event_log, _, reader = _log_to_pipe()
    handler = _event_log._LibraryHandler(event_log)
    try:
        raise ValueError("the cause")
    except ValueError:
        record = logging.getLogger("uvicorn.error").makeRecord(
            "uvicorn.error", logging.ERROR, "", 0, "failed", (), sys.exc_info()
        )
    handler.handle(record)
    event_log.flush()
    (line,) = _read_lines(reader)
    _close(event_log)
    assert line["message_type"] == "library-message"
    assert line["trace"].endswith("ValueError: the cause\n")
