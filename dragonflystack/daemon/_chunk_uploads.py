"""Takes chunks of client blocks for the object store."""

from dragonflystack import _asgi
from dragonflystack import steering
from dragonflystack import storage
from dragonflystack.daemon import _node

_MAX_CHUNK_BYTES = 1_048_576
_MOST_SITES = 65_535


async def on_put_chunk(
    node: _node.Node, receive: _asgi.Receive, send: _asgi.Send
) -> None:
    """Stores the chunk in the body under its digest, if it is one.

    Whether the document has its sites is checked when the document that names
    it is applied.
    """
    data = await _asgi.read_body(receive, _MAX_CHUNK_BYTES)
    digest = steering.digest_of(data)
    try:
        steering.decode_chunk(digest, data, _MOST_SITES)
    except steering.InvalidChunkError as exc:
        await _asgi.send_problem(send, 422, "invalid chunk", str(exc))
        return
    failed = await node.platform.put(digest, data)
    if isinstance(failed, storage.Unavailable):
        reason = str(failed.failure)
        await _asgi.send_problem(send, 503, "object store out", reason)
        return
    await _asgi.send_json(send, {"digest": digest}, 201)
