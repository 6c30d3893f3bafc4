"""A request as it is sent to model servers, and the headers that are not passed on."""

from __future__ import annotations

from dataclasses import dataclass

Headers = dict[bytes, bytes]
# Hop-by-hop headers, and headers that are regenerated for each attempt or answer.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
PROXY_HEADERS = frozenset((b"deadline-ms", b"expect-server"))


@dataclass(slots=True)
class Outbound:
    """A request as sent to servers. All attempts share it; `encode_head` adds the headers of one attempt."""

    method: bytes
    target: bytes
    headers: Headers  # without HOP_BY_HOP_HEADERS and PROXY_HEADERS
    body: bytes
    request_id: bytes

    def encode_head(self, server: str, left_s: float, extra: Headers) -> bytes:
        """Return the head of one attempt, which the body follows.

        :param left_s: time left, announced to the server in Deadline-Ms
        :param extra: headers of this attempt; they replace client headers of the same name
        """
        lines = [self.method + b" " + self.target + b" HTTP/1.1"]
        lines += [name + b": " + value for name, value in self.headers.items() if name not in extra]
        lines += [name + b": " + value for name, value in extra.items()]
        lines.append(b"Expect-Server: " + server.encode())
        lines.append(b"Deadline-Ms: %d" % max(1, int(left_s * 1000)))
        if self.body or self.method not in (b"GET", b"HEAD"):
            lines.append(b"Content-Length: %d" % len(self.body))
        return b"\r\n".join(lines) + b"\r\n\r\n"


def end_to_end_headers(headers: Headers, without: frozenset[bytes] = HOP_BY_HOP_HEADERS | PROXY_HEADERS) -> Headers:
    """Return the headers without those in `without` and without those that Connection names."""
    named = {name.strip().lower() for name in headers.get(b"connection", b"").split(b",")}
    return {name: value for name, value in headers.items() if name not in without and name not in named}
