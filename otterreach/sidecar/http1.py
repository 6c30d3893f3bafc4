"""HTTP/1.1 parsing and framing for connections to clients, endpoints and discovery, independent of sockets."""

from __future__ import annotations

from collections.abc import Callable
from functools import lru_cache
from http import HTTPStatus
from typing import NamedTuple

import httptools

from otterreach.sidecar.http1_message import MAX_BODY, MAX_HEAD, Message
from otterreach.sidecar.http1_message import Bounds as Bounds  # part of the parsers' interface

MAX_ANSWER = 16 * MAX_BODY  # valid responses of 5 times MAX_BODY occur; the limit bounds the memory
MAX_SKIPPED = 8  # responses to other requests before the one that is expected; bounds the work for endless ones
BODILESS = (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class Request(NamedTuple):
    """A complete request."""

    method: bytes
    target: bytes  # path and query, not decoded
    headers: dict[bytes, bytes]  # names in lower case
    body: bytes
    keep_alive: bool


class Response(NamedTuple):
    """A complete response."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool  # the connection can carry another request


BOUNDS = Bounds()
ANSWER_BOUNDS = Bounds(body=MAX_ANSWER)


class RequestParser:
    """Incremental parser of requests. Once `error` (the status of the response) is set, no more input is parsed."""

    def __init__(self, max_body: int = MAX_BODY, max_head: int = MAX_HEAD, bounds: Bounds | None = None) -> None:
        self.error = 0
        self.expects_continue = False
        self._bounds = bounds or Bounds(max_body, max_head)
        self._completed: list[Request] = []
        self._message = Message(self._bounds)
        self._target = b""
        self._started = False
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)

    @property
    def has_partial_request(self) -> bool:
        """True if part of a request has been received."""
        return self._started or self._message.raw_size > 0

    @property
    def buffered_bytes(self) -> int:
        """Upper bound of the bytes that are kept of the request being received."""
        return self._message.buffered_size

    @property
    def in_head(self) -> bool:
        """True if part of a request has been received and its head is incomplete."""
        return self.has_partial_request and self._message.in_head

    def close(self) -> None:
        """Release the httptools parser, which forms a reference cycle with its callbacks.

        Without this, the memory would be freed only by the garbage collector.
        """
        self._parser = None

    def refuse(self, status: int) -> None:
        """Drop the request being received; `status` becomes the error unless there is one."""
        self.error = self.error or status
        self._reset()
        self.close()

    def feed(self, data: bytes) -> list[Request]:
        """Parse bytes and return the requests that they complete, including those before an error in the bytes."""
        if not self.error and self._parser:
            before = self._message
            body_size = before.body_size
            try:
                self._parser.feed_data(data)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade):  # upgrades aren't supported
                self.error = self.error or HTTPStatus.BAD_REQUEST
                # The error may come from a wrong Content-Length, so the end of the request before it, in the
                # same bytes, is uncertain: it may hide another request and is dropped.
                if self._completed:
                    self._completed.pop()
            if before is self._message:
                before.add_raw(len(data), before.body_size > body_size)
            if self._message.too_large:
                self.error = self.error or self._too_large()
            if self.error:
                self._reset()
                self.close()
        done = self._completed
        self._completed = []
        return done

    def _too_large(self) -> int:
        message = self._message
        return message.bounds.head_error if message.head_too_large else HTTPStatus.REQUEST_ENTITY_TOO_LARGE

    def on_message_begin(self) -> None:
        """Start a request (callback of httptools)."""
        self._started = True

    def on_url(self, url: bytes) -> None:
        """Add a part of the target (callback of httptools)."""
        self._target += url
        self._message.head_size += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header (callback of httptools)."""
        self._message.add_header(name, value)

    def on_headers_complete(self) -> None:
        """Check the complete head (callback of httptools)."""
        message = self._message
        message.end_head()
        if message.ambiguous:
            self.error = HTTPStatus.BAD_REQUEST
        elif message.length > message.bounds.body or message.head_too_large:
            self.error = self._too_large()
        elif message.headers.get(b"expect", b"").lower() == b"100-continue":
            self.expects_continue = True

    def on_body(self, data: bytes) -> None:
        """Add a part of the body (callback of httptools)."""
        self._message.add_body(data)

    def on_message_complete(self) -> None:
        """Complete a request (callback of httptools)."""
        message = self._message
        parser = self._parser
        if message.too_large:
            self.error = self.error or self._too_large()
        if parser and not self.error:
            body = bytes(message.body)
            keep = parser.should_keep_alive()
            self._completed.append(Request(parser.get_method(), self._target, message.headers, body, keep))
        self._reset()

    def _reset(self) -> None:
        """Drop the state of the request being received."""
        self._message = Message(self._bounds)
        self._target = b""
        self._started = False
        self.expects_continue = False


class ResponseParser:
    """Incremental parser of a single response.

    `on_body` receives the parts of the body as they arrive, in place of collecting them (as for discovery's watch).
    `on_head` is called with the status and the headers of the response. `require_framing`: a response without
    Content-Length or chunked encoding, whose body would end with the connection, is broken, even with `on_body`.
    `is_expected`: whether a response with these headers belongs to the request; others are skipped, up to
    MAX_SKIPPED, and the next one broken.
    """

    def __init__(
        self,
        on_body: Callable[[bytes], None] | None = None,
        on_head: Callable[[int, dict[bytes, bytes]], None] | None = None,
        bounds: Bounds = ANSWER_BOUNDS,
        require_framing: bool = False,
        is_expected: Callable[[dict[bytes, bytes]], bool] = lambda _: True,
    ) -> None:
        self.response: Response | None = None
        self.skipped = 0  # complete or begun responses that were not expected
        self.status = 0  # 0 until the head is complete
        self.broken = False
        self._on_body = on_body
        self._on_head = on_head
        self._bounds = bounds
        self._require_framing = require_framing
        self._is_expected = is_expected
        self._is_skipping = False
        self._message = Message(bounds)
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)

    def close(self) -> None:
        """Release the httptools parser, as in RequestParser.close. There is one parser per response."""
        self._parser = None

    def feed(self, data: bytes) -> Response | None:
        """Parse bytes and return the response once it is complete."""
        if self._parser and not self.broken:
            # Interim responses (1xx) and the final head share one limit, since either may be endless.
            self._message.raw_size += len(data)
            try:
                self._parser.feed_data(data)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade):
                self._mark_broken()
            if self.response is None and self._message.too_large and not (self._on_body and self.status):
                self.broken = True
        return None if self.broken else self.response

    def end(self) -> Response | None:
        """Handle an orderly end of the connection, which completes a body without framing.

        A truncated body can't be told apart from a complete one here. So only responses other than 200, whose body is
        not passed to a client, may end this way.
        """
        message = self._message
        if self.response is None and self.status > HTTPStatus.OK and not message.framed and not self.broken:
            self.response = Response(self.status, message.headers, bytes(message.body), False)
        return self.response

    def _mark_broken(self) -> None:
        if self.response is None:
            self.broken = True
        else:  # the response is valid, but the connection carries more data than belongs to it
            self.response = self.response._replace(keep_alive=False)

    def on_message_begin(self) -> None:
        """Start a response (callback of httptools)."""
        if self.response is not None:
            self._mark_broken()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header (callback of httptools)."""
        if self.response is None:
            self._message.add_header(name, value)

    def on_headers_complete(self) -> None:
        """Check the complete head (callback of httptools)."""
        if self.response is not None or self._parser is None:
            return
        message = self._message
        self.status = self._parser.get_status_code()
        message.end_head()
        if self.status < HTTPStatus.OK:
            return
        if self._require_framing or self._on_body is None:
            self.broken = self.broken or message.ambiguous or not message.framed and self._needs_framing
        if self._on_body is None:
            self.broken = self.broken or message.length > message.bounds.body
        if self.broken:
            return
        if not self._is_expected(message.headers):
            self._skip()
        elif self._on_head:
            self._on_head(self.status, message.headers)

    def _skip(self) -> None:
        """Skip the response whose head is complete."""
        self.skipped += 1
        self._is_skipping = True
        self.broken = self.skipped > MAX_SKIPPED

    @property
    def _needs_framing(self) -> bool:
        return self.status not in BODILESS if self._require_framing else self.status == HTTPStatus.OK

    def on_body(self, data: bytes) -> None:
        """Add a part of the body (callback of httptools)."""
        if self.response is not None or self._is_skipping:
            return  # the data belongs to another response, before or after this one
        if self._on_body:
            self._on_body(data)
        else:
            self._message.add_body(data)

    def on_message_complete(self) -> None:
        """Complete a response (callback of httptools)."""
        if self.response is not None or self._parser is None:
            return
        if self.status == HTTPStatus.SWITCHING_PROTOCOLS:
            self.broken = True
        elif self.status < HTTPStatus.OK:  # interim response, such as 100 Continue
            self._await_next(self._message.raw_size)
        elif self._is_skipping:
            self._is_skipping = False
            self._await_next(0)
        elif not self.broken:
            message = self._message
            # Bytes above the size limit were dropped: the truncated body must not pass for a complete one.
            self.broken = message.too_large
            body = bytes(message.body)
            keep = self._parser.should_keep_alive()
            self.response = None if self.broken else Response(self.status, message.headers, body, keep)

    def _await_next(self, raw_size: int) -> None:
        """Prepare for the response that follows one which is not the final response to the request."""
        self.status = 0
        self._message = Message(self._bounds)
        self._message.raw_size = raw_size


def encode_request(request: Request, host: bytes, headers: dict[bytes, bytes]) -> bytes:
    """Encode a request as one byte string, so that a small one is sent in a single packet."""
    lines = [request.method + b" " + request.target + b" HTTP/1.1", b"Host: " + host]
    lines += [name + b": " + value for name, value in headers.items()]
    if request.body or request.method != b"GET":
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


def encode_response(status: int, body: bytes = b"", retry_after_s: float = 0.0, close: bool = False) -> bytes:
    """Encode a response."""
    head = b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n" % (status, PHRASES[status], len(body))
    if retry_after_s > 0:
        head += b"Retry-After: %.3f\r\n" % retry_after_s
    if close:
        head += b"Connection: close\r\n"
    return head + b"\r\n" + body


@lru_cache(maxsize=64)  # an endpoint repeats its last report in each response
def parse_load(value: bytes | None, columns: tuple[str, ...]) -> tuple[float, ...]:
    """Parse a load report such as `TEXT inflight=7, queue=2`.

    :returns: the values in the order of the columns; empty if a column is missing or the report is malformed
    """
    kind, _, rest = (value or b"").strip().partition(b" ")
    if kind.upper() != b"TEXT":
        return ()
    figures: dict[str, float] = {}
    for pair in rest.decode("latin-1").split(","):
        name, _, number = pair.partition("=")
        try:
            figures[name.strip()] = float(number)
        except ValueError:
            return ()
    return tuple(figures[c] for c in columns) if all(c in figures for c in columns) else ()
