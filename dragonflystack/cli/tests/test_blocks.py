import json
import pathlib
import shutil

import httpcore
import pytest

from dragonflystack import config
from dragonflystack import steering
from dragonflystack.cli import __main__ as cli
from dragonflystack.cli import _blocks
from dragonflystack.cli import _command

_EXAMPLE = pathlib.Path("examples/oberwasser.json")
_SITE = config.decode_document(_EXAMPLE.read_bytes()).topology.sites[1].name


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("192.0.2.0/24,nowhere\n", "blocks.csv:1: no such site: 'nowhere'"),
        (f"192.0.2.0/24,{_SITE}\n192.0.2.0/33,{_SITE}\n", "blocks.csv:2: "),
        ("192.0.2.0/24\n", "blocks.csv:1: not enough values"),
    ],
)
def test_an_error_names_the_line(tmp_path, text, message):
    path = tmp_path / "blocks.csv"
    path.write_text(text)
    sites = config.decode_document(_EXAMPLE.read_bytes()).topology.sites
    with pytest.raises(_blocks.InvalidBlocksError) as info:
        _blocks.read_blocks(path, sites)
    assert message in str(info.value)


def test_only_changed_chunks_are_sent(tmp_path, monkeypatch, capsys):
    sent = []

    def call(args, method, path, content):
        sent.append(content)
        digest = steering.digest_of(content)
        res = httpcore.Response(201, content=json.dumps(digest).encode())
        res.read()
        return res

    monkeypatch.setattr(_command, "call", call)
    document = tmp_path / "document.json"
    shutil.copy(_EXAMPLE, document)
    blocks = tmp_path / "blocks.csv"
    argv = ["blocks-upload", str(blocks), str(document)]
    lines = [f"10.{i // 250}.{i % 250}.0/25,{_SITE}" for i in range(20_000)]
    blocks.write_text("\n".join(lines))
    assert cli.main(argv) == _command.ExitCode.DONE
    named = config.decode_document(document.read_bytes()).clients.chunks
    assert list(map(steering.digest_of, sent)) == list(named)
    whole = len(sent)
    sent.clear()
    blocks.write_text("\n".join([*lines, f"10.0.0.128/25,{_SITE}"]))
    assert cli.main(argv) == _command.ExitCode.DONE
    assert 0 < len(sent) < whole
