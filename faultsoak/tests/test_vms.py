import pathlib
import signal

import pytest

from faultsoak import _links
from faultsoak import _proxy
from faultsoak import _vms


@pytest.mark.parametrize(
    ("code", "killed", "stopped_at_s", "asked"),
    [
        pytest.param(0, False, 50.0, True, id="planned stop"),
        pytest.param(0, False, None, False, id="by itself"),
        pytest.param(1, False, 50.0, False, id="error in a planned stop"),
        pytest.param(-signal.SIGKILL, True, None, True, id="killed"),
        pytest.param(-signal.SIGTERM, False, 10.5, True, id="while starting"),
        pytest.param(-signal.SIGTERM, False, 50.0, False, id="unhandled"),
    ],
)
def test_exits_that_signals_explain(code, killed, stopped_at_s, asked):
    way = _proxy.Proxy("127.0.0.1", 1)
    path = pathlib.Path()
    link = _links.Link("127.0.0.1", _links.Links(), None)
    vm = _vms.Vm("edge-1", "127.0.0.1", "north-a", path, path, way, way, link)
    vm.started_at_s = 10.0
    vm.was_killed = killed
    vm.stopped_at_s = stopped_at_s
    assert _vms.is_asked(vm, code) is asked


def test_the_last_words_of_a_process_are_not_its_log_lines(tmp_path):
    log = tmp_path / "edge-1.log"
    log.write_text(
        '{"message_type": "started"}\nTraceback\n  OSError\n{"a": 1}'
    )
    assert _vms._last_words(log) == "Traceback\n  OSError"
