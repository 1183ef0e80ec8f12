import pathlib
import shutil

import pytest

from benchmarks import _ablate

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def _copy_file(path: str, target: pathlib.Path) -> None:
    copy = target / path
    copy.parent.mkdir(parents=True, exist_ok=True)
    if not copy.exists():
        shutil.copy(_ROOT / path, copy)


@pytest.mark.parametrize("mechanism", _ablate.MECHANISMS)
def test_the_edits_apply_to_the_sources(mechanism, tmp_path):
    for edit in _ablate.MECHANISMS[mechanism]:
        _copy_file(edit.path, tmp_path)
        _ablate.apply(tmp_path, edit)
    for edit in _ablate.MECHANISMS[mechanism]:
        text = (tmp_path / edit.path).read_text()
        assert edit.after in text
        compile(text, edit.path, "exec")


@pytest.mark.parametrize("text", ["b = 1\n", "a = 1\na = 1\n"])
def test_an_edit_whose_line_does_not_stand_once_is_refused(text, tmp_path):
    (tmp_path / "m.py").write_text(text)
    with pytest.raises(_ablate.EditError, match=r"m\.py.*'a = 1'"):
        _ablate.apply(tmp_path, _ablate.Edit("m.py", "a = 1", "a = 2"))
    assert (tmp_path / "m.py").read_text() == text


def test_the_table_compares_with_all_mechanisms_on():
    plays = [
        _ablate.Play("s", "d", "none", "e1", 0.5, 0.9, ()),
        _ablate.Play("s", "d", "none", "e2", 0.6, 0.9, ()),
        _ablate.Play("s", "d", "leeway", "e3", 0.5, 0.8, ("SHIFT",)),
    ]
    row = _ablate.format_table(plays).splitlines()[2]
    assert row == (
        "| s | d | leeway | 0.500 | +0.050 | 0.800 | +0.100 | SHIFT | e3 |"
    )


def test_no_day_is_played_when_an_edit_does_not_apply(
    tmp_path, monkeypatch, capsys
):
    edit = _ablate.Edit("README.md", "no such line", "")
    monkeypatch.setattr(_ablate, "MECHANISMS", {"none": (), "gone": (edit,)})
    program = tmp_path / "bench"
    program.write_text("#!/bin/sh\ntouch played\n")
    program.chmod(0o755)
    folder = tmp_path / "copies"
    argv = [str(folder), "--bench", str(program), "--site", "s", "--day", "d"]
    assert _ablate.main(argv) == 2
    assert "README.md: expected the line" in capsys.readouterr().err
    assert not list(folder.glob("*/played"))
