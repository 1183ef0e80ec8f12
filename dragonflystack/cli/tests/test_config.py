import json

import httpcore
import pytest

from dragonflystack.cli import __main__ as cli
from dragonflystack.cli import _command

_PENDING = {
    "version": 2,
    "accepted": 1,
    "receipt": None,
    "waiting_for": [
        {"vm": "v", "incarnation": "i", "acknowledged": 1, "hold": False}
    ],
}
_ACCEPTED = {
    "version": 2,
    "accepted": 2,
    "receipt": {"version": 2, "confirmations": [{}], "accepted_at": "t"},
    "waiting_for": [],
}
_DONE = _command.ExitCode.DONE
_REFUSED = _command.ExitCode.REFUSED
_NO_ANSWER = _command.ExitCode.NO_ANSWER
_APPLY = ["config", "apply", "fleet", "FILE", "--base", "1"]
_CHECK = ["config", "check", "fleet", "FILE", "--base", "1"]


def _problem(status: int, **members) -> tuple[int, dict]:
    return status, {"title": "t", "detail": "d", **members}


def _run(monkeypatch, tmp_path, argv, answers) -> int:
    path = tmp_path / "part.json"
    path.write_text('{"owner": "b"}')
    remaining = list(answers)

    def call(*args) -> httpcore.Response:
        status, value = remaining.pop(0)
        headers = [(b"etag", b'"1"')]
        content = json.dumps(value).encode()
        res = httpcore.Response(status, headers=headers, content=content)
        res.read()
        return res

    monkeypatch.setattr(_command, "call", call)
    return cli.main([str(path) if a == "FILE" else a for a in argv])


@pytest.mark.parametrize(
    ("argv", "answers", "code"),
    [
        (["config", "get"], [(200, {})], _DONE),
        (["config", "get", "fleet"], [_problem(404)], _REFUSED),
        (["config", "init", "FILE"], [(201, {"version": 1})], _DONE),
        (["config", "init", "FILE"], [_problem(422)], _REFUSED),
        (_CHECK, [(200, {"version": 2})], _DONE),
        (_CHECK, [_problem(422)], _REFUSED),
        ([*_APPLY, "--dry-run"], [(200, {"version": 2})], _DONE),
        (_APPLY, [(200, {"version": 1})], _DONE),
        (
            _APPLY,
            [(201, {"version": 2}), (200, _PENDING)],
            _command.ExitCode.PENDING,
        ),
        (_APPLY, [(201, {"version": 2}), (200, _ACCEPTED)], _DONE),
        (_APPLY, [_problem(403)], _REFUSED),
        (_APPLY, [_problem(409, difference="-a\n+b")], _REFUSED),
        (_APPLY, [_problem(504)], _NO_ANSWER),
        (["config", "wait", "2"], [(200, _PENDING), (200, _ACCEPTED)], _DONE),
        (
            ["config", "wait", "2", "--wait-s", "0"],
            [(200, _PENDING)],
            _command.ExitCode.PENDING,
        ),
        (["config", "history"], [(200, [])], _DONE),
        (["config", "fence", "v", "--switched-off"], [(200, {})], _DONE),
        (["config", "fence", "v", "--switched-off"], [_problem(409)], _REFUSED),
        (["status"], [(200, _ACCEPTED)], _DONE),
        (["status"], [(200, _PENDING)], _command.ExitCode.PENDING),
        (["status"], [_problem(503)], _NO_ANSWER),
    ],
)
def test_exit_code_matches_response(monkeypatch, tmp_path, argv, answers, code):
    assert _run(monkeypatch, tmp_path, argv, answers) == code


def test_pending_status_lists_vms_that_it_waits_for(
    monkeypatch, tmp_path, capsys
):
    _run(monkeypatch, tmp_path, ["status"], [(200, _PENDING)])
    assert "waits for v (i): acknowledged version 1" in capsys.readouterr().out


def test_version_conflict_prints_difference(monkeypatch, tmp_path, capsys):
    answers = [_problem(409, difference="-a\n+b")]
    _run(monkeypatch, tmp_path, _APPLY, answers)
    assert "-a\n+b" in capsys.readouterr().err


def test_diff_prints_removed_and_added_lines(monkeypatch, tmp_path, capsys):
    argv = ["config", "diff", "fleet", "FILE"]
    _run(monkeypatch, tmp_path, argv, [(200, {"owner": "a"})])
    assert '-  "owner": "a"\n+  "owner": "b"' in capsys.readouterr().out


def test_fence_without_switched_off_flag_is_usage_error():
    with pytest.raises(SystemExit) as exit_info:
        cli.main(["config", "fence", "v"])
    assert exit_info.value.code == _command.ExitCode.USAGE
