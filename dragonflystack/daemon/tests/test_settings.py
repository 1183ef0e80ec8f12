import pathlib

import msgspec
import pytest

from dragonflystack.daemon import _settings

_EXAMPLE = pathlib.Path("examples/settings.json")


def test_the_example_is_valid():
    assert _settings.load_settings(_EXAMPLE).callers.port == 7000


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"vm": 7}, "Expected `str`, got `int` - at `$.vm`"),
        ({"callers": {"host": "a", "port": "b"}}, "at `$.callers.port`"),
        ({"colour": "red"}, "unknown field `colour`"),
    ],
)
def test_an_error_names_the_file_and_the_path(tmp_path, change, message):
    path = tmp_path / "settings.json"
    content = msgspec.json.decode(_EXAMPLE.read_bytes()) | change
    path.write_bytes(msgspec.json.encode(content))
    with pytest.raises(_settings.InvalidSettingsError) as info:
        _settings.load_settings(path)
    assert str(path) in str(info.value)
    assert message in str(info.value)
