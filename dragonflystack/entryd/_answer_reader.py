"""Reads the answers of a backend server on one connection, within bounds.

httptools parses; what it does not bound is bounded here, so that a backend
server that sends without end costs a fixed amount of memory. A backend server
may answer twice: the second answer then stands where the next request's is
due. It is told by the id that it echoes, and passed over.
"""

import dataclasses
import datetime

import httptools

_FIRST_FINAL_STATUS = 200
_NO_BODY_STATUSES = frozenset((204, 304))
_DEFAULT_KEEP_ALIVE = datetime.timedelta(seconds=5)
"""Assumed where a backend server does not say how long it keeps idle ones."""

_MAX_KEEP_ALIVE_S = 3_600


class BrokenError(Exception):
    """The connection failed after something was written."""


class CorruptError(Exception):
    """What came is no whole answer to the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLimits:
    """Bounds on what is read for one request; beyond, the answer is corrupt."""

    body_bytes: int = 33_554_432
    """Largest body that is held in memory."""

    head_bytes: int = 65_536
    """All that is not body: status lines, headers, interim answers, framing."""

    framing_per_body_byte: int = 8
    """Bytes of framing allowed for each byte of a body beside `head_bytes`; a
    chunk of one byte takes five."""

    header_lines: int = 256
    """Headers of one head."""

    interim_answers: int = 16
    """Answers with a 1xx status before the final one."""

    others_answers: int = 8
    """Answers to other requests that are passed over."""

    held_bytes: int = 67_108_864
    """Bodies of all answers that are being read by this VM."""

    def __post_init__(self):
        """Checks the bounds.

        Raises:
            ValueError: names the bound and its value.
        """
        for field in dataclasses.fields(self):
            value = getattr(self, field.name)
            if value < 1:
                raise ValueError(f"{field.name}: {value}: expected 1 or more")


@dataclasses.dataclass(slots=True)
class Answer:
    """A whole answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    """Names as the backend server spelled them; without trailers."""

    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Returns the first header of that lower-case name, or None."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A request as it goes over the connection."""

    head: bytes
    body: bytes
    request_id: bytes
    """The id that its answer has to echo; empty if none is expected."""

    has_no_answer_body: bool = False
    """Whether the answer has no body whatever it says (HEAD)."""


class AnswerReader:
    """Reads the answer to one request after the other."""

    def __init__(self, id_header: bytes, limits: AnswerLimits):
        self._id_header = id_header
        self._limits = limits
        self._parser = httptools.HttpResponseParser(self)
        self._outgoing: Outgoing | None = None
        self._answer: Answer | None = None
        self._problem: str | None = None
        self._fed_bytes = 0
        self._body_bytes = 0
        self._interim_answers = 0
        self._others_answers = 0
        self._in_message = False
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._parts: list[bytes] = []
        self._held_bytes = 0
        self._lines = 0
        self._echoed: bytes | None = None
        self._is_framed = False
        self._in_head = True
        self.is_reusable = True
        """Whether another request may go over the connection."""

        self.keep_alive = _DEFAULT_KEEP_ALIVE
        """How long the backend server keeps the connection when idle."""

    @property
    def held_bytes(self) -> int:
        """How much of a body is held now."""
        return self._held_bytes

    def expect(self, outgoing: Outgoing) -> None:
        """Begins to read the answer to a request that is written now."""
        self._outgoing = outgoing
        self._answer = None
        self._fed_bytes = 0
        self._body_bytes = 0
        self._interim_answers = 0
        self._others_answers = 0

    def feed(self, data: bytes) -> Answer | None:
        """Takes in bytes; returns the answer once it is whole.

        Raises:
            CorruptError: if they are no answer or exceed a bound.
        """
        self._fed_bytes += len(data)
        problem: str | None = None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            problem = self._problem or f"not HTTP: {exc}"
        if self._answer is not None:
            # What follows a whole answer belongs to no request.
            self.is_reusable = self.is_reusable and problem is None
            answer, self._answer = self._answer, None
            return answer
        if problem is not None:
            raise self._corrupt(problem)
        self._check_framing()
        return None

    def finish(self, cause: Exception | None) -> Answer:
        """Takes in the end of the connection; returns an answer that it ends.

        Args:
            cause: what broke the connection, None if it was closed.

        Raises:
            CorruptError: if it cut an answer short.
            BrokenError: if no answer had begun.
        """
        self.is_reusable = False
        if cause is None and self._ends_with_connection():
            self._end_message()
            answer, self._answer = self._answer, None
            if answer is not None:
                return answer
        if self._in_message:
            raise self._corrupt("the answer broke off")
        reason = "closed" if cause is None else str(cause)
        raise BrokenError(f"no answer: {reason}")

    # Callbacks of the parser

    def on_message_begin(self):
        """Starts an answer."""
        self._reset_message()
        self._in_message = True
        if self._outgoing is None:
            self.is_reusable = False

    def on_header(self, name, value):
        """Takes in a header; trailers are left out."""
        self._lines += 1
        if self._lines > self._limits.header_lines:
            self._refuse(f"more than {self._limits.header_lines} headers")
        if self._in_head:
            self._headers.append((name, value))

    def on_headers_complete(self):
        """Takes in the status."""
        self._in_head = False
        self._status = self._parser.get_status_code()
        for name, value in self._headers:
            lower = name.lower()
            if lower in (b"content-length", b"transfer-encoding"):
                self._is_framed = True
            elif lower == self._id_header:
                self._echoed = value
            elif lower == b"keep-alive":
                self._read_keep_alive(value)
        outgoing = self._outgoing
        if outgoing is not None and outgoing.has_no_answer_body:
            self.is_reusable = False
            self._end_message()

    def on_body(self, body):
        """Takes in a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._limits.body_bytes:
            self._refuse(f"a body of over {self._limits.body_bytes} bytes")
        self._held_bytes += len(body)
        self._parts.append(body)

    def on_message_complete(self):
        """Ends an answer."""
        if self._status < _FIRST_FINAL_STATUS:
            self._in_message = False
            self._interim_answers += 1
            if self._interim_answers > self._limits.interim_answers:
                limit = self._limits.interim_answers
                self._refuse(f"more than {limit} interim answers")
            return
        if not self._parser.should_keep_alive():
            self.is_reusable = False
        self._end_message()

    # Its own steps

    def _reset_message(self) -> None:
        self._status = 0
        self._headers = []
        self._parts = []
        self._held_bytes = 0
        self._lines = 0
        self._echoed = None
        self._is_framed = False
        self._in_head = True

    def _ends_with_connection(self) -> bool:
        return (
            self._in_message
            and self._status >= _FIRST_FINAL_STATUS
            and not self._is_framed
            and self._status not in _NO_BODY_STATUSES
        )

    def _end_message(self) -> None:
        self._in_message = False
        outgoing = self._outgoing
        if outgoing is None:
            self.is_reusable = False
            self._reset_message()
            return
        echoed = self._echoed
        expected = outgoing.request_id
        if expected and echoed is not None and echoed != expected:
            self._others_answers += 1
            if self._others_answers > self._limits.others_answers:
                limit = self._limits.others_answers
                self._refuse(f"more than {limit} answers to other requests")
            self._reset_message()
            return
        self._outgoing = None
        self._answer = Answer(
            self._status, self._headers, b"".join(self._parts)
        )
        self._parts = []
        self._held_bytes = 0

    def _check_framing(self) -> None:
        limits = self._limits
        most = limits.head_bytes
        most += limits.framing_per_body_byte * self._body_bytes
        if self._fed_bytes - self._body_bytes > most:
            raise self._corrupt(f"over {most} bytes beside the body")

    def _refuse(self, problem: str) -> None:
        """Ends the parsing: httptools tells only that a callback raised."""
        self._problem = problem
        raise CorruptError(problem)

    def _corrupt(self, problem: str) -> CorruptError:
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
