"""Validation of the application's requests, and the parameters that the balancer needs of them."""

from __future__ import annotations

import hashlib
import re
from http import HTTPStatus
from urllib.parse import unquote_to_bytes

from otterreach.balancer import Settings
from otterreach.balancer.interface import Effect
from otterreach.sidecar import http1
from otterreach.sidecar.config import Names
from otterreach.sidecar.sidecar import Call

MAX_TIMEOUT_MS = 3_600_000
PLAIN = re.compile(rb"[!-~]{1,200}")  # the only header values that are forwarded to endpoints


class InvalidCallError(ValueError):
    """A well-formed HTTP request that is not a valid call; carries the status of the answer."""

    def __init__(self, status: HTTPStatus, text: str) -> None:
        super().__init__(text)
        self.status = status


def parse_call(request: http1.Request, names: Names, settings: Settings) -> Call:
    """Validate a request and return it with its parameters for the balancer.

    :raises InvalidCallError: the request violates the protocol and must not be forwarded
    """
    if request.method not in (b"GET", b"POST"):
        raise InvalidCallError(HTTPStatus.METHOD_NOT_ALLOWED, "GET and POST are served")
    parts = [part for part in request.target.partition(b"?")[0].split(b"/") if part]
    name = parts[0] if parts else b""
    class_index = names.classes.get((unquote_to_bytes(name) if b"%" in name else name).decode("latin-1"))
    if class_index is None:
        raise InvalidCallError(HTTPStatus.NOT_FOUND, "no such class of requests")
    headers = request.headers
    effect = settings.classes[class_index].effect
    keyed = len(parts) > 1 and (settings.key_affinity or settings.classes[class_index].in_order)
    if not PLAIN.fullmatch(headers.get(b"x-trace-id", b"")):
        raise InvalidCallError(HTTPStatus.BAD_REQUEST, "X-Trace-Id is missing, or no plain text")
    if (request.method == b"GET") is not (effect is Effect.REPEATABLE):
        raise InvalidCallError(HTTPStatus.METHOD_NOT_ALLOWED, "this class is asked for in another way")
    if request.method == b"GET" and request.body:
        raise InvalidCallError(HTTPStatus.BAD_REQUEST, "GET has no body")
    if effect is not Effect.REPEATABLE:
        key = headers.get(b"idempotency-key")
        if (key is None) is (effect is Effect.BY_KEY) or key is not None and not PLAIN.fullmatch(key):
            raise InvalidCallError(HTTPStatus.BAD_REQUEST, "Idempotency-Key does not fit the class")
    left_ns = settings.classes[class_index].deadline_ns
    if (left_ms := _number(headers, b"x-expires-in-ms")) is not None:
        left_ns = min(left_ms, MAX_TIMEOUT_MS) * 1_000_000
    hint_us = _number(headers, b"x-size-hint")
    return Call(
        request=request,
        class_index=class_index,
        tenant=names.tenants.get(headers.get(b"x-customer", b"").decode("latin-1"), len(names.tenants)),
        left_ns=left_ns,
        hint_ns=None if hint_us is None else hint_us * 1000,
        key=_hash_key(parts[-1]) if keyed else 0,  # the digest is expensive: computed only if used
        is_retry=headers.get(b"x-second-try") == b"1",
    )


def _number(headers: dict[bytes, bytes], name: bytes) -> int | None:
    value = headers.get(name)
    if value is None:
        return None
    if not value.isdigit() or len(value) > 18:
        raise InvalidCallError(HTTPStatus.BAD_REQUEST, f"{name.decode()} is no whole number")
    return int(value)


def _hash_key(part: bytes) -> int:
    """Return a hash of the key that is the same in every sidecar, and never 0, which means no key."""
    return int.from_bytes(hashlib.blake2b(part, digest_size=8).digest(), "big") or 1
