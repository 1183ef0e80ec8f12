import json
import pathlib

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
def test_invalid_blocks_error_names_file_and_line(tmp_path, text, message):
    path = tmp_path / "blocks.csv"
    path.write_text(text)
    sites = config.decode_document(_EXAMPLE.read_bytes()).topology.sites
    with pytest.raises(_blocks.InvalidBlocksError) as info:
        _blocks.read_blocks(path, sites)
    assert message in str(info.value)


def _response(status: int, value) -> httpcore.Response:
    headers = [(b"etag", b'"7"')]
    content = json.dumps(value).encode()
    res = httpcore.Response(status, headers=headers, content=content)
    res.read()
    return res


def test_upload_sends_only_changed_chunks(tmp_path, monkeypatch, capsys):
    stored = json.loads(_EXAMPLE.read_bytes())
    sent = []

    def call(args, method, path, content=None):
        if method == "PUT":
            sent.append(content)
            return _response(201, {})
        value = stored if path == "/v1/document" else stored["clients"]
        return _response(200, value)

    monkeypatch.setattr(_command, "call", call)
    section = tmp_path / "clients.json"
    blocks = tmp_path / "blocks.csv"
    argv = ["blocks-upload", str(blocks), str(section)]
    lines = [f"10.{i // 250}.{i % 250}.0/25,{_SITE}" for i in range(20_000)]
    blocks.write_text("\n".join(lines))
    assert cli.main(argv) == _command.ExitCode.DONE
    assert "config apply clients" in capsys.readouterr().out
    stored["clients"] = json.loads(section.read_text())
    listed_digests = stored["clients"]["chunks"]
    assert list(map(steering.digest_of, sent)) == listed_digests
    sent.clear()
    blocks.write_text("\n".join([*lines, f"10.0.0.128/25,{_SITE}"]))
    assert cli.main(argv) == _command.ExitCode.DONE
    assert 0 < len(sent) < len(listed_digests)
