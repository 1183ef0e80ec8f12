import anyio
import pytest

from dragonflystack import _asgi


def _receive_from(*messages):
    left = list(messages)

    async def receive():
        return left.pop(0)

    return receive


def _part(body: bytes, more: bool) -> dict:
    return {"type": "http.request", "body": body, "more_body": more}


_GONE = {"type": "http.disconnect"}


@pytest.mark.parametrize(
    ("messages", "found"),
    [
        ([_part(b"", False)], b""),
        ([_part(b"ab", True), _part(b"cd", False)], b"abcd"),
        ([_part(b"ab", True), _part(b"cde", False)], _asgi.BodyTooLargeError),
        ([_part(b"ab", True), _GONE], _asgi.CallerGoneError),
    ],
)
def test_a_body_is_whole_or_an_error(messages, found):
    async def run():
        return await _asgi.read_body(_receive_from(*messages), limit_bytes=4)

    if isinstance(found, bytes):
        assert anyio.run(run) == found
    else:
        with pytest.raises(found):
            anyio.run(run)


@pytest.mark.parametrize("leaving", [False, True])
def test_connections_end_after_their_answer_while_leaving(leaving):
    sent = []

    async def send(message):
        sent.append(message)

    async def app(scope, receive, send):
        await _asgi.send_json(send, {})

    wrapped = _asgi.close_connections_when(lambda: leaving, app)
    anyio.run(wrapped, {}, _receive_from(), send)
    assert ((b"connection", b"close") in sent[0]["headers"]) is leaving
