import anyio
import pytest

from dragonflystack import _supervision


@pytest.fixture(autouse=True)
def no_delay(monkeypatch):
    monkeypatch.setattr(_supervision, "_RESTART_DELAY_S", 0.0)


def test_loop_is_restarted_after_each_error():
    errors = []
    remaining = [ValueError("first"), ExceptionGroup("g", [OSError("second")])]

    async def loop():
        if remaining:
            raise remaining.pop(0)

    async def run():
        await _supervision.keep_running(loop, lambda *args: errors.append(args))

    anyio.run(run)
    assert [reason for reason, _ in errors] == [
        "ValueError: first",
        "ExceptionGroup: g (1 sub-exception)",
    ]
    assert "OSError: second" in errors[1][1]


def test_cancelled_loop_is_not_restarted():
    starts = []

    async def loop():
        starts.append(1)
        await anyio.sleep_forever()

    async def run():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_supervision.keep_running, loop, print)
            await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()

    anyio.run(run)
    assert starts == [1]
