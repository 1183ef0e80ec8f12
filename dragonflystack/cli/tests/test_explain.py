"""Tests how `explain` finds the history of a request in logs of several VMs."""

import json

import pytest

from dragonflystack.cli import __main__ as cli
from dragonflystack.cli import _explain


def _line(at, kind, vm="vm-1", **fields):
    return {"timestamp": at, "message_type": kind, "vm": vm, **fields}


_LINES = [
    _line(1.0, "server-gone", server="s1"),
    _line(8.0, "server-suspect", server="s1", request="earlier"),
    _line(8.5, "server-suspect", server="s9"),
    _line(9.0, "server-suspect", server="s1", vm="vm-2"),
    _line(10.0, "request-sent", request="q", server="s1"),
    _line(10.1, "request-sent", request="other", server="s1"),
    _line(10.2, "request-failed", request="q", reason="broken"),
    _line(11.0, "server-gone", server="s1"),
]


def test_history_contains_request_and_earlier_state_changes():
    history = _explain.find_request_history(_LINES, "q")
    kinds = [line["message_type"] for line in history]
    assert kinds == ["server-suspect", "request-sent", "request-failed"]


def test_state_change_caused_by_request_appears_once():
    suspicion = _line(10.15, "server-suspect", server="s1", request="q")
    history = _explain.find_request_history([*_LINES, suspicion], "q")
    assert history.count(suspicion) == 1


def test_request_never_sent_is_explained_by_changes_of_all_servers():
    lines = [*_LINES, _line(10.3, "request-rejected", request="r")]
    history = _explain.find_request_history(lines, "r")
    assert sum("server" in line for line in history) == 2


def test_requested_backoff_explains_requests_until_it_expires():
    active = _line(2.0, "server-asked-wait", server="s1", wait_ms=30_000.0)
    expired = _line(2.1, "server-asked-wait", server="s2", wait_ms=1_000.0)
    rejected = _line(
        20.0, "request-rejected", request="r", reason="asked-to-wait"
    )
    assert _explain.find_request_history([active, expired, rejected], "r") == [
        active,
        rejected,
    ]


@pytest.mark.parametrize(("request_id", "code"), [("q", 0), ("nobody", 1)])
def test_explain_reads_log_files_and_counts_other_lines(
    tmp_path, capsys, request_id, code
):
    path = tmp_path / "vm.log"
    text = "\n".join(f"  1.5 vm-1 {json.dumps(line)}" for line in _LINES)
    path.write_text(text + "\nnot a line\n")
    assert cli.main(["explain", request_id, str(path)]) == code
    out = capsys.readouterr()
    assert ("request-failed" in out.out) == (code == 0)
    assert "1 lines are not log lines" in out.err
