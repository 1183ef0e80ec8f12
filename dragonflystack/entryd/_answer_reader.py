"""Reads a backend server's answers from one connection, within size limits.

httptools does the parsing but enforces no limits. The reader adds them, so that
a backend server that sends without end uses a fixed amount of memory.

A backend server may answer a request twice. The duplicate then arrives where
the answer to the next request is expected; the reader recognizes it by the
request id that it echoes and skips it. An answer that echoes no id may be such
a duplicate too, so it is accepted only on a connection without an earlier one.
"""

import dataclasses
import datetime

import httptools

from dragonflystack import _body_buffer

_FIRST_FINAL_STATUS = 200
_LAST_STATUS = 599
_NO_BODY_STATUSES = frozenset((204, 304))
_DEFAULT_KEEP_ALIVE = datetime.timedelta(seconds=5)
"""Assumed if a backend server does not announce its keep-alive timeout."""

_MAX_KEEP_ALIVE_S = 3_600


class BrokenError(Exception):
    """The connection failed after the request was written, before an answer."""


class CorruptError(Exception):
    """The received bytes are not a complete, valid answer to the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLimits:
    """Limits on what is read for one request.

    An answer that exceeds one of them is treated as corrupt.
    """

    body_bytes: int = 33_554_432
    """Maximum size of one body."""

    head_bytes: int = 65_536
    """Maximum number of bytes outside the body: status lines, headers, interim
    answers and framing."""

    framing_per_body_byte: int = 8
    """Framing bytes allowed per body byte, in addition to `head_bytes`. A chunk
    of one byte needs five."""

    header_lines: int = 256
    """Maximum number of headers and trailers of one answer."""

    interim_answers: int = 16
    """Maximum number of 1xx answers before the final one."""

    others_answers: int = 8
    """Maximum number of skipped answers to other requests."""

    def __post_init__(self):
        """Validates the limits.

        Raises:
            ValueError: if a limit is less than 1; names the limit and value.
        """
        for field in dataclasses.fields(self):
            value = getattr(self, field.name)
            if value < 1:
                raise ValueError(f"{field.name}: {value}: expected 1 or more")


@dataclasses.dataclass(slots=True)
class Answer:
    """A complete answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    """Header names as the backend server spelled them; excludes trailers."""

    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of the first header with a name, or None.

        Args:
            name: the header's name in lower case.
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """An encoded request."""

    head: bytes
    body: bytes
    request_id: bytes
    """The id that the answer must echo; empty if none is expected."""

    has_no_answer_body: bool = False
    """Whether the answer has no body regardless of its headers (HEAD)."""


class AnswerReader:
    """Parses the answers to successive requests on one connection."""

    def __init__(self, id_header: bytes, limits: AnswerLimits):
        self._id_header = id_header
        self._limits = limits
        self._parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
        self._request: OutgoingRequest | None = None
        self._answer: Answer | None = None
        self._problem: str | None = None
        self._received_bytes = 0
        self._body_bytes = 0
        self._interim_answers = 0
        self._others_answers = 0
        self._has_answered = False
        """Whether an answer was read on this connection before."""

        self._in_message = False
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = _body_buffer.BodyBuffer()
        self._header_count = 0
        self._echoed_id: bytes | None = None
        self._has_framing = False
        self._in_head = True
        self.body_parts = 0
        """The number of parts of bodies received so far."""

        self.is_reusable = True
        """Whether the connection may carry another request."""

        self.keep_alive = _DEFAULT_KEEP_ALIVE
        """How long the backend server keeps an idle connection open."""

    @property
    def buffered_bytes(self) -> int:
        """The number of body bytes currently buffered."""
        return self._body.size

    def expect_answer(self, request: OutgoingRequest) -> None:
        """Prepares to read the answer to a request that is about to be sent."""
        self._request = request
        self._answer = None
        self._received_bytes = 0
        self._body_bytes = 0
        self._interim_answers = 0
        self._others_answers = 0

    def feed(self, data: bytes) -> Answer | None:
        """Parses received bytes; returns the answer once it is complete.

        Raises:
            CorruptError: if the bytes are not a valid answer or exceed a limit.
        """
        assert self._parser is not None
        self._received_bytes += len(data)
        problem: str | None = None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            problem = self._problem or f"not HTTP: {exc}"
        if self._answer is not None:
            # Bytes after a complete answer belong to no request.
            self.is_reusable = self.is_reusable and problem is None
            answer, self._answer = self._answer, None
            return answer
        if problem is not None:
            raise self._corrupt_error(problem)
        self._check_framing()
        return None

    def finish(self, cause: Exception | None) -> Answer:
        """Handles the end of the connection.

        Args:
            cause: the error that broke the connection; None if the backend
                server closed it.

        Returns:
            The answer whose body is delimited by the end of the connection.

        Raises:
            CorruptError: if the answer is incomplete.
            BrokenError: if no answer had begun.
        """
        self.is_reusable = False
        if cause is None and self._ends_at_close():
            self._end_message()
            answer, self._answer = self._answer, None
            if answer is not None:
                return answer
        if self._in_message:
            raise self._corrupt_error("the connection ended within the answer")
        reason = "closed" if cause is None else str(cause)
        raise BrokenError(f"no answer: {reason}")

    def close(self) -> None:
        """Frees the request and all received bytes; ends the use of the reader.

        The parser refers to the reader. Both would stay in memory until the
        garbage collector runs, which depends on the number of objects, not on
        their size.
        """
        self.is_reusable = False
        self._request = None
        self._answer = None
        self._reset_message()
        self._parser = None

    # Callbacks of httptools.HttpResponseParser.

    def on_message_begin(self):
        """Starts a new answer."""
        self._reset_message()
        self._in_message = True
        if self._request is None:
            self.is_reusable = False

    def on_header(self, name, value):
        """Records a header; trailers are counted but not kept."""
        self._header_count += 1
        if self._header_count > self._limits.header_lines:
            self._abort_parsing(
                f"more than {self._limits.header_lines} headers"
            )
        if self._in_head:
            self._headers.append((name, value))

    def on_headers_complete(self):
        """Records the status and evaluates the headers."""
        assert self._parser is not None
        self._in_head = False
        self._status = self._parser.get_status_code()
        if self._status > _LAST_STATUS:
            self._abort_parsing(f"status {self._status}")
        for name, value in self._headers:
            lower = name.lower()
            if lower in (b"content-length", b"transfer-encoding"):
                self._has_framing = True
            elif lower == self._id_header:
                self._echoed_id = value
            elif lower == b"keep-alive":
                self._read_keep_alive(value)
        request = self._request
        if request is not None and request.has_no_answer_body:
            self.is_reusable = False
            self._end_message()

    def on_body(self, body):
        """Appends a part of the body."""
        self.body_parts += 1
        self._body_bytes += len(body)
        if self._body_bytes > self._limits.body_bytes:
            self._abort_parsing(f"body exceeds {self._limits.body_bytes} bytes")
        self._body.append(body)

    def on_message_complete(self):
        """Completes an answer, or counts an interim one."""
        if self._status < _FIRST_FINAL_STATUS:
            self._in_message = False
            self._interim_answers += 1
            if self._interim_answers > self._limits.interim_answers:
                limit = self._limits.interim_answers
                self._abort_parsing(f"more than {limit} interim answers")
            return
        assert self._parser is not None
        if not self._parser.should_keep_alive():
            self.is_reusable = False
        self._end_message()

    def _reset_message(self) -> None:
        self._status = 0
        self._headers = []
        self._body.clear()
        self._header_count = 0
        self._echoed_id = None
        self._has_framing = False
        self._in_head = True

    def _ends_at_close(self) -> bool:
        return (
            self._in_message
            and self._status >= _FIRST_FINAL_STATUS
            and not self._has_framing
            and self._status not in _NO_BODY_STATUSES
        )

    def _end_message(self) -> None:
        self._in_message = False
        request = self._request
        if request is None:
            self.is_reusable = False
            self._reset_message()
            return
        had_answered, self._has_answered = self._has_answered, True
        echoed = self._echoed_id
        expected = request.request_id
        if expected and echoed is not None and echoed != expected:
            self._others_answers += 1
            if self._others_answers > self._limits.others_answers:
                limit = self._limits.others_answers
                self._abort_parsing(
                    f"more than {limit} answers to other requests"
                )
            self._reset_message()
            return
        if expected and echoed is None and had_answered:
            self._abort_parsing("no request id on a reused connection")
        self._request = None
        self._answer = Answer(self._status, self._headers, self._body.take())

    def _check_framing(self) -> None:
        limits = self._limits
        allowed = limits.head_bytes
        allowed += limits.framing_per_body_byte * self._body_bytes
        if self._received_bytes - self._body_bytes > allowed:
            raise self._corrupt_error(f"over {allowed} bytes outside the body")

    def _abort_parsing(self, problem: str) -> None:
        """Stops the parser with an error.

        httptools reports only that a callback raised, so the problem is kept.
        """
        self._problem = problem
        raise CorruptError(problem)

    def _corrupt_error(self, problem: str) -> CorruptError:
        """Returns the error after it discards the incomplete answer."""
        self.is_reusable = False
        self._reset_message()
        return CorruptError(problem)

    def _read_keep_alive(self, value: bytes) -> None:
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            digits = seconds.strip()
            if name.lower() != b"timeout" or not digits.isdigit():
                continue
            if len(digits) <= len(str(_MAX_KEEP_ALIVE_S)):
                self.keep_alive = datetime.timedelta(seconds=int(digits))
