import anyio
import pytest

from dragonflystack import _asgi


def _receive_from(*messages):
    remaining = list(messages)

    async def receive():
        return remaining.pop(0)

    return receive


def _part(body: bytes, more: bool) -> dict:
    return {"type": "http.request", "body": body, "more_body": more}


_DISCONNECT = {"type": "http.disconnect"}


@pytest.mark.parametrize(
    ("messages", "expected"),
    [
        ([_part(b"", False)], b""),
        ([_part(b"ab", True), _part(b"cd", False)], b"abcd"),
        ([_part(b"ab", True), _part(b"cde", False)], _asgi.BodyTooLargeError),
        ([_part(b"ab", True), _DISCONNECT], _asgi.CallerGoneError),
    ],
)
def test_read_body_returns_the_complete_body_or_raises(messages, expected):
    async def run():
        return await _asgi.read_body(_receive_from(*messages), limit_bytes=4)

    if isinstance(expected, bytes):
        assert anyio.run(run) == expected
    else:
        with pytest.raises(expected):
            anyio.run(run)


@pytest.mark.parametrize("leaving", [False, True])
def test_connection_closes_after_its_response_while_leaving(leaving):
    sent = []

    async def send(message):
        sent.append(message)

    async def app(scope, receive, send):
        await _asgi.send_json(send, {})

    wrapped = _asgi.close_connections_when(lambda: leaving, app)
    anyio.run(wrapped, {}, _receive_from(), send)
    assert ((b"connection", b"close") in sent[0]["headers"]) is leaving
