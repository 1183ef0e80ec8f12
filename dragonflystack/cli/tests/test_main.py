import argparse
import json

import httpcore
import pytest

from dragonflystack.cli import __main__ as cli
from dragonflystack.cli import _command

_BREACHED = {"promise": "shift-cap", "checks": 2, "worst_margin": -0.1}
_BREACHED |= {"breaches": 1, "last_breaches": []}


def _answer(status: int, value) -> httpcore.Response:
    res = httpcore.Response(status, content=json.dumps(value).encode())
    res.read()
    return res


@pytest.mark.parametrize(
    ("argv", "answer", "code"),
    [
        (["dump"], _answer(200, {"vm": "a"}), _command.ExitCode.DONE),
        (["drain"], _answer(202, {"vm": "a"}), _command.ExitCode.DONE),
        (
            ["drain"],
            _answer(401, {"title": "no such team token"}),
            _command.ExitCode.REFUSED,
        ),
        (
            ["promises"],
            _answer(200, {"promises": [_BREACHED | {"breaches": 0}]}),
            _command.ExitCode.DONE,
        ),
        (
            ["promises", "--day", "2026-12-03"],
            _answer(200, {"promises": [_BREACHED]}),
            _command.ExitCode.REFUSED,
        ),
        (
            ["lookup", "no-such"],
            _answer(404, {"title": "no such service"}),
            _command.ExitCode.REFUSED,
        ),
    ],
)
def test_exit_code_matches_response(monkeypatch, argv, answer, code):
    monkeypatch.setattr(_command, "call", lambda *args: answer)
    assert cli.main(argv) == code


def test_connection_error_exits_with_no_answer(monkeypatch, capsys):
    def fail(*args):
        raise httpcore.ConnectError("refused")

    monkeypatch.setattr(_command, "call", fail)
    assert cli.main(["dump"]) == _command.ExitCode.NO_ANSWER
    assert "no answer from" in capsys.readouterr().err


def test_every_command_has_description_and_valid_arguments():
    for command in cli._COMMANDS:
        assert command.DESCRIPTION.endswith(".")
        command.add_arguments(argparse.ArgumentParser())
