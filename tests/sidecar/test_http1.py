"""Framing is independent of how the bytes are split, and no input raises an exception."""

from __future__ import annotations

from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given, settings, strategies

from otterreach.sidecar.http1 import MAX_SKIPPED, Bounds, RequestParser, ResponseParser, encode_response, parse_load

TWO = (
    b"POST /once/1?x=%20 HTTP/1.1\r\nX-Trace-Id: a\r\nContent-Length: 3\r\n\r\nabc"
    b"POST /once/2 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n"
)
repeatable = settings(derandomize=True, max_examples=100, deadline=None)


def cut(data: bytes, places: list[int]) -> list[bytes]:
    edges = [0, *sorted(place % len(data) for place in places), len(data)]
    return [data[a:b] for a, b in pairwise(edges)]


@repeatable
@given(strategies.lists(strategies.integers(0, 10_000), max_size=8))
def test_requests_are_the_same_however_they_are_cut(places: list[int]) -> None:
    parser = RequestParser()
    done = [request for part in cut(TWO, places) for request in parser.feed(part)]
    assert [(r.target, r.body) for r in done] == [(b"/once/1?x=%20", b"abc"), (b"/once/2", b"def")]
    assert not parser.error and not parser.has_partial_request


@repeatable
@given(strategies.lists(strategies.integers(0, 10_000), max_size=8))
def test_a_response_is_the_same_however_it_is_cut(places: list[int]) -> None:
    parser = ResponseParser()
    data = encode_response(503, b"body", 0.25)
    *early, last = [parser.feed(part) for part in cut(data, places) if part]
    assert not any(early)
    assert last and (last.status, last.body, last.headers[b"retry-after"]) == (503, b"body", b"0.250")


@repeatable
@given(strategies.lists(strategies.integers(0, 10_000), max_size=8), strategies.booleans())
def test_a_streamed_body_ends_with_its_response(places: list[int], chunked: bool) -> None:
    """A second response in the same bytes must not be added to the body of the first one."""
    own = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
    first = own if chunked else encode_response(200, b"body")
    second = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    pieces: list[bytes] = []
    parser = ResponseParser(pieces.append)
    answers = [parser.feed(part) for part in cut(first + second, places) if part]
    assert b"".join(pieces) == b"body"
    assert answers[-1] is not None and not answers[-1].keep_alive


@repeatable
@given(strategies.lists(strategies.binary(max_size=200), max_size=5))
def test_no_bytes_raise(parts: list[bytes]) -> None:
    requests, response = RequestParser(), ResponseParser()
    for part in parts:
        requests.feed(part)
        response.feed(part)
    response.end()


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"TEXT inflight=7, queue=2, util=0.61", (2.0, 7.0)),
        (b"text queue=2,inflight=7", (2.0, 7.0)),
        (b"TEXT queue=2", ()),
        (b"JSON {}", ()),
        (b"TEXT queue=a, inflight=7", ()),
        (b"", ()),
        (None, ()),
    ],
)
def test_load_reports(value: bytes | None, load: tuple[float, ...]) -> None:
    assert parse_load(value, ("queue", "inflight")) == load


CHUNKED = b"POST /once/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
BOUNDS = Bounds(body=1000, head=100)


def feed_in_pieces(parser: RequestParser, data: bytes, size: int = 50) -> int:
    """Feed data until the parser rejects it; return the number of bytes that were fed."""
    for offset in range(0, len(data), size):
        if parser.error:
            return offset
        parser.feed(data[offset : offset + size])
    return len(data)


@pytest.mark.parametrize("size", [1, 2, 1000])
def test_the_largest_body_is_taken_in_chunks_of_any_size(size: int) -> None:
    parser = RequestParser(bounds=BOUNDS)
    body = b"x" * BOUNDS.body
    chunks = [b"%x\r\n%s\r\n" % (size, body[n : n + size]) for n in range(0, len(body), size)]
    done = [request for part in (CHUNKED, *chunks, b"0\r\n\r\n") for request in parser.feed(part)]
    assert [request.body for request in done] == [body]


@pytest.mark.parametrize("start", [b"0\r\nX-Trailer: ", b"1;extension="])
def test_trailers_and_extensions_are_as_short_as_a_head(start: bytes) -> None:
    """They are not part of the body, and a trailer is kept until it is complete."""
    parser = RequestParser(bounds=BOUNDS)
    parser.feed(CHUNKED + b"3e8\r\n" + b"x" * BOUNDS.body + b"\r\n")
    assert feed_in_pieces(parser, start + b"y" * 10_000) <= BOUNDS.head + 50
    assert parser.error


def test_a_rejected_request_is_not_kept() -> None:
    parser = RequestParser(bounds=BOUNDS)
    parser.feed(b"POST /once/1 HTTP/1.1\r\nContent-Length: 900\r\n\r\n" + b"x" * 800)
    assert parser.buffered_bytes >= 800
    parser.refuse(503)
    assert (parser.error, parser.buffered_bytes, parser.has_partial_request) == (503, 0, False)
    assert parser.feed(b"x" * 100) == []
    over = RequestParser(bounds=BOUNDS)
    over.feed(CHUNKED + b"7d0\r\n" + b"x" * 2000)
    assert (over.error, over.buffered_bytes) == (413, 0)


COPY = b"HTTP/1.1 503 X\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nnot\r\n0\r\n\r\n"
OWN = b"HTTP/1.1 200 X\r\nX-Id: 2\r\nContent-Length: 3\r\n\r\nown"


def skipping_parser(**more: Any) -> ResponseParser:
    return ResponseParser(is_expected=lambda headers: headers.get(b"x-id") == b"2", **more)


@pytest.mark.parametrize("size", [1, 7, 10_000])
@pytest.mark.parametrize("copies", [0, 1, MAX_SKIPPED])
def test_responses_to_other_requests_are_skipped(size: int, copies: int) -> None:
    """MIXED: no byte of a late copy may reach the caller as part of the response that follows it."""
    heads: list[int] = []
    parts: list[bytes] = []
    parser = skipping_parser(on_head=lambda status, _: heads.append(status), on_body=parts.append)
    data = COPY * copies + OWN
    responses = [parser.feed(data[n : n + size]) for n in range(0, len(data), size)]
    assert (responses[-1] is not None, parser.broken, parser.skipped) == (True, False, copies)
    assert (heads, b"".join(parts)) == ([200], b"own")


def test_endless_responses_to_other_requests_are_broken() -> None:
    parser = skipping_parser()
    assert parser.feed(COPY * (MAX_SKIPPED + 1) + OWN) is None
    assert parser.broken


def test_a_skipped_response_of_any_length_does_not_count_against_the_next_one() -> None:
    long = b"HTTP/1.1 200 X\r\nX-Id: 1\r\nContent-Length: 200000\r\n\r\n" + b"x" * 200_000
    parser = skipping_parser(on_body=lambda _: None)
    assert parser.feed(long + OWN) is not None
