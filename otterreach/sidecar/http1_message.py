"""A message of HTTP/1.1 while it is parsed, and its size limits."""

from __future__ import annotations

from http import HTTPStatus
from typing import NamedTuple

MAX_BODY = 64 * 1024  # limit of the protocol for request bodies
MAX_HEAD = 16 * 1024
MAX_CHUNK_OVERHEAD = 8  # raw bytes per byte of the body: a chunk of one byte takes six
# A message that repeats one of these headers could be interpreted differently by the next server.
SINGLE_VALUE_HEADERS = frozenset(
    (b"content-length", b"transfer-encoding", b"host", b"x-trace-id", b"idempotency-key", b"x-expires-in-ms")
)


class Bounds(NamedTuple):
    """Size limits of a message in bytes, and the handling of repeated headers."""

    body: int = MAX_BODY
    head: int = MAX_HEAD
    single_value_headers: frozenset[bytes] = SINGLE_VALUE_HEADERS  # headers that may occur only once
    join_repeated: bool = False  # True: the values of a repeated header are joined; False: the first one is used
    head_error: int = HTTPStatus.REQUEST_ENTITY_TOO_LARGE  # the status for a head that is too large


class Message:
    """State of a request or response while it is parsed, within the size limits.

    The limits apply to the bytes fed into the parser: httptools buffers a header's name and value until both are
    complete, so the sizes seen by its callbacks don't bound the memory.
    """

    __slots__ = (
        "ambiguous",
        "body",
        "body_size",
        "bounds",
        "bytes_since_body",
        "head_size",
        "headers",
        "in_head",
        "raw_size",
    )

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()  # one object for all parts: a list would need many times the size of tiny chunks
        self.raw_size = 0
        self.bytes_since_body = 0  # raw bytes after the last part of the body: extensions of a chunk, or trailers
        self.head_size = 0
        self.body_size = 0
        self.in_head = True
        self.ambiguous = False

    @property
    def head_too_large(self) -> bool:
        """True if the head exceeds its size limit."""
        if self.head_size > self.bounds.head or self.in_head and self.raw_size > self.bounds.head:
            return True
        return self.bytes_since_body > self.bounds.head

    @property
    def buffered_size(self) -> int:
        """Upper bound of the bytes that are kept of the message."""
        return self.body_size + min(self.raw_size, self.bounds.head)

    def add_raw(self, size: int, has_body: bool) -> None:
        """Count raw bytes; `has_body`: some of them belong to the body."""
        self.raw_size += size
        self.bytes_since_body = 0 if has_body or self.in_head else self.bytes_since_body + size

    @property
    def too_large(self) -> bool:
        """True if the head, the body or the raw message exceeds its size limit."""
        max_body = self.bounds.body
        max_raw = self.bounds.head + MAX_CHUNK_OVERHEAD * max_body
        return self.body_size > max_body or self.head_too_large or self.raw_size > max_raw

    @property
    def length(self) -> int:
        """The Content-Length, or 0 without one. httptools has verified that it is a number."""
        declared = self.headers.get(b"content-length")
        return int(declared) if declared else 0

    @property
    def framed(self) -> bool:
        """True if the headers define the end of the body."""
        return b"content-length" in self.headers or b"transfer-encoding" in self.headers

    def add_header(self, name: bytes, value: bytes) -> None:
        """Add a header. Trailers are ignored."""
        name = name.lower()
        value = value or b""
        self.head_size += len(name) + len(value)
        if self.in_head:  # not a trailer
            if name not in self.headers:
                self.headers[name] = value
            elif name in self.bounds.single_value_headers:
                self.ambiguous = True
            elif self.bounds.join_repeated:
                self.headers[name] += (b"; " if name == b"cookie" else b", ") + value

    def add_body(self, data: bytes) -> None:
        """Add a part of the body, up to the size limit."""
        self.body_size += len(data)
        if self.body_size <= self.bounds.body:
            self.body += data

    def end_head(self) -> None:
        """Complete the head, and mark a message with ambiguous framing."""
        self.in_head = False
        coding = self.headers.get(b"transfer-encoding")
        if coding is not None and (coding.lower() != b"chunked" or b"content-length" in self.headers):
            self.ambiguous = True
