"""Codec of the simulator's binary protocol: unpadded little-endian records <-> types of the interface."""

from __future__ import annotations

import struct
from collections.abc import Callable
from math import log2
from typing import NamedTuple, Union

import otterreach.balancer.interface as api

BATCH_HEADER = struct.Struct("<IIQ")
CLOCK_BYTES = 8  # the clock field, which the batch length includes
REPLY_HEADER = struct.Struct("<II")

_CODE = struct.Struct("<H")
_INSTANCE = struct.Struct("<I")
_INSTANCE_START = struct.Struct("<IQI")
_ENDPOINT_LIST = struct.Struct("<II")
_LISTED = struct.Struct("<IfHHHBQ")
_ROSTER = struct.Struct("<IQBI")
_REQUEST = struct.Struct("<IQQQQHHB")
_FIRST_BYTE = struct.Struct("<IQIQH")
_OUTCOME = struct.Struct("<IQIHQBBB")
_CLIENT_GONE = struct.Struct("<IQ")
_TIMER = struct.Struct("<II")
_PROBE_RESULT = struct.Struct("<IBIQB")
_PEER_MESSAGE = struct.Struct("<IHH")

_OBSERVATION = struct.Struct("<IBBB")
# Quantization in peer messages: steps per doubling of slowdowns and queues, and the unit of ages.
_STEPS_PER_DOUBLING = 16
_AGE_UNIT_NS = 50_000_000

_HINT_VALID = 1
_IS_RETRY = 2
_IS_WRITE = 4
_EVERY_PEER = 0xFFFFFFFF
_MAX_TEXT = 1000


class WireError(ValueError):
    """A frame is malformed."""


class InstanceStart(NamedTuple):
    """Start of an instance, with its seed and its settings as JSON."""

    seed: int
    params: bytes


class InstanceEnd(NamedTuple):
    """End of an instance."""


class EndpointList(NamedTuple):
    """Numbered endpoint list, shared by all instances until its number is reused."""

    number: int
    entries: tuple[api.Listed, ...]


class RosterRef(NamedTuple):
    """Roster whose entries are in a numbered endpoint list."""

    version: int
    form: int
    list_number: int


WireEvent = Union[api.Event, InstanceStart, InstanceEnd, EndpointList, RosterRef]


def decode_batch(count: int, body: bytes) -> list[tuple[int, WireEvent]]:
    """Decode the records of a batch to (instance, event) pairs; the instance of an EndpointList is -1.

    :raises WireError: a record is malformed, or bytes remain after the last one
    """
    events: list[tuple[int, WireEvent]] = []
    at = 0
    try:
        for _ in range(count):
            (code,) = _CODE.unpack_from(body, at)
            reader = _READERS.get(code)
            if reader is None:
                raise WireError(f"unknown event code {code}")
            instance, event, at = reader(body, at + 2)
            events.append((instance, event))
    except struct.error as error:
        raise WireError(f"truncated record: {error}") from None
    if at != len(body):
        raise WireError(f"{len(body) - at} bytes left after the last record")
    return events


_ReadResult = tuple[int, WireEvent, int]


def _slice(body: bytes, at: int, size: int) -> tuple[bytes, int]:
    if at + size > len(body):
        raise WireError(
            f"truncated record: a field of {size} bytes at offset {at} ends past the {len(body)} bytes"
        )
    return body[at : at + size], at + size


def _loads(body: bytes, at: int, count: int) -> tuple[tuple[float, ...], int]:
    raw, end = _slice(body, at, 4 * count)
    return struct.unpack(f"<{count}f", raw), end


def _status(value: int) -> api.Status:
    try:
        return _STATUSES[value]
    except IndexError:
        raise WireError(f"unknown status {value}") from None


_STATUSES = tuple(api.Status(n) for n in range(len(api.Status)))


def _read_instance_start(body: bytes, at: int) -> _ReadResult:
    instance, seed, size = _INSTANCE_START.unpack_from(body, at)
    params, end = _slice(body, at + _INSTANCE_START.size, size)
    return instance, InstanceStart(seed, params), end


def _read_instance_end(body: bytes, at: int) -> _ReadResult:
    (instance,) = _INSTANCE.unpack_from(body, at)
    return instance, InstanceEnd(), at + _INSTANCE.size


def _read_endpoint_list(body: bytes, at: int) -> _ReadResult:
    number, count = _ENDPOINT_LIST.unpack_from(body, at)
    raw, end = _slice(body, at + _ENDPOINT_LIST.size, count * _LISTED.size)
    return -1, EndpointList(number, tuple(map(api.Listed._make, _LISTED.iter_unpack(raw)))), end


def _read_roster(body: bytes, at: int) -> _ReadResult:
    instance, version, form, list_number = _ROSTER.unpack_from(body, at)
    if form > api.RosterForm.CACHED:
        raise WireError(f"unknown roster form {form}")
    return instance, RosterRef(version, form, list_number), at + _ROSTER.size


def _read_request(body: bytes, at: int) -> _ReadResult:
    instance, request, hint, key, left, tenant, flags, class_index = _REQUEST.unpack_from(body, at)
    event = api.Request(
        request,
        class_index,
        left,
        hint if flags & _HINT_VALID else None,
        key,
        tenant,
        bool(flags & _IS_RETRY),
        bool(flags & _IS_WRITE),
    )
    return instance, event, at + _REQUEST.size


def _read_first_byte(body: bytes, at: int) -> _ReadResult:
    instance, request, endpoint, latency, attempt = _FIRST_BYTE.unpack_from(body, at)
    return instance, api.FirstByte(request, endpoint, latency, attempt), at + _FIRST_BYTE.size


def _read_outcome(body: bytes, at: int) -> _ReadResult:
    fields = _OUTCOME.unpack_from(body, at)
    instance, request, endpoint, attempt, latency, status, finished, columns = fields
    load, end = _loads(body, at + _OUTCOME.size, columns)
    event = api.Outcome(request, endpoint, attempt, latency, _status(status), bool(finished), load)
    return instance, event, end


def _read_client_gone(body: bytes, at: int) -> _ReadResult:
    instance, request = _CLIENT_GONE.unpack_from(body, at)
    return instance, api.ClientGone(request), at + _CLIENT_GONE.size


def _read_timer(body: bytes, at: int) -> _ReadResult:
    instance, token = _TIMER.unpack_from(body, at)
    return instance, api.Timer(token), at + _TIMER.size


def _read_probe_result(body: bytes, at: int) -> _ReadResult:
    instance, status, endpoint, latency, columns = _PROBE_RESULT.unpack_from(body, at)
    load, end = _loads(body, at + _PROBE_RESULT.size, columns)
    return instance, api.ProbeResult(endpoint, _status(status), latency, load), end


def _read_peer_message(body: bytes, at: int) -> _ReadResult:
    instance, sender, size = _PEER_MESSAGE.unpack_from(body, at)
    data, end = _slice(body, at + _PEER_MESSAGE.size, size)
    return instance, _decode_peer_message(sender, data), end


# Decoded values by byte: slowdowns from 1/16 to 3800.
_SLOWDOWN_BY_BYTE = tuple(2.0 ** (n / _STEPS_PER_DOUBLING - 4) for n in range(256))
_QUEUE_BY_BYTE = tuple(2.0 ** (n / _STEPS_PER_DOUBLING) - 1 for n in range(256))


def _decode_peer_message(sender: int, data: bytes) -> api.PeerMessage:
    """Decode a peer's message; an unknown format counts as an empty message of a peer of another release."""
    if not data or (len(data) - 1) % _OBSERVATION.size:
        return api.PeerMessage(sender)
    rows = _OBSERVATION.iter_unpack(data[1:])
    observations = tuple(
        [
            api.EndpointObservation(n, _SLOWDOWN_BY_BYTE[slowdown], _QUEUE_BY_BYTE[queue], age * _AGE_UNIT_NS)
            for n, slowdown, queue, age in rows
        ]
    )
    return api.PeerMessage(sender, data[0] / 255, observations)


def _to_byte(value: float) -> int:
    return max(0, min(255, round(value)))


def _encode_peer_message(latency_ratio: float, observations: tuple[api.EndpointObservation, ...]) -> bytes:
    """Encode a latency ratio and at most MAX_OBSERVATIONS observations, in one byte for each quantity.

    The ratio is in units of 1/255. With n = _STEPS_PER_DOUBLING, a slowdown s is encoded as
    n * (log2(s) + 4), and a queue of q requests as n * log2(q + 1). An age is in units of _AGE_UNIT_NS. Each
    byte is rounded, and a value out of range becomes 0 or 255. Each observation begins with its endpoint's
    number, in 4 bytes.
    """
    rows = [
        _OBSERVATION.pack(
            s.endpoint,
            _to_byte(_STEPS_PER_DOUBLING * (log2(max(s.slowdown, 1e-9)) + 4)),
            _to_byte(_STEPS_PER_DOUBLING * log2(s.queue + 1)),
            _to_byte(s.age_ns / _AGE_UNIT_NS),
        )
        for s in observations[: api.MAX_OBSERVATIONS]
    ]
    return bytes((_to_byte(255 * latency_ratio),)) + b"".join(rows)


_READERS: dict[int, Callable[[bytes, int], _ReadResult]] = {
    1000: _read_instance_start,
    1010: _read_roster,
    1020: _read_request,
    1030: _read_first_byte,
    1040: _read_outcome,
    1050: _read_client_gone,
    1060: _read_timer,
    1070: _read_probe_result,
    1080: _read_peer_message,
    1090: _read_instance_end,
    1100: _read_endpoint_list,
}

_FAIL = struct.Struct("<HIQ")
_SET_TIMER = struct.Struct("<HIQI")
_TEXT = struct.Struct("<HIH")
_CANCEL = struct.Struct("<HIQH")
_INSTANCE_ONLY = struct.Struct("<HI")
_INSTANCE_ENDPOINT = struct.Struct("<HII")
_WATCH = struct.Struct("<HIB")
_REFUSE = struct.Struct("<HIQQ")
_SEND = struct.Struct("<HIQIQ")
_TELL = struct.Struct("<HIIH")


def _text(code: int, instance: int, text: str) -> bytes:
    raw = text.encode()[:_MAX_TEXT].decode(errors="ignore").encode()
    return _TEXT.pack(code, instance, len(raw)) + raw


def encode_action(instance: int, action: api.Action) -> bytes:
    """Encode an action as a reply record."""
    match action:
        case api.Send(request, endpoint, timeout):
            return _SEND.pack(1090, instance, request, endpoint, timeout)
        case api.SetTimer(delay, token):
            return _SET_TIMER.pack(1010, instance, delay, token)
        case api.Refuse(request, retry_after):
            return _REFUSE.pack(1080, instance, request, retry_after)
        case api.Fail(request):
            return _FAIL.pack(1000, instance, request)
        case api.Cancel(request, attempt):
            return _CANCEL.pack(1030, instance, request, attempt)
        case api.Fault(text):
            return _text(1020, instance, text)
        case api.Log(text):
            return _text(1050, instance, text)
        case api.Fetch():
            return _INSTANCE_ONLY.pack(1040, instance)
        case api.CloseIdle(endpoint):
            return _INSTANCE_ENDPOINT.pack(1060, instance, endpoint)
        case api.Watch(active):
            return _WATCH.pack(1070, instance, active)
        case api.Tell(peer, latency_ratio, observations):
            data = _encode_peer_message(latency_ratio, observations)
            target = _EVERY_PEER if peer < 0 else peer
            return _TELL.pack(1100, instance, target, len(data)) + data
        case api.Probe(endpoint):
            return _INSTANCE_ENDPOINT.pack(1110, instance, endpoint)


def encode_reply(actions: list[tuple[int, api.Action]]) -> bytes:
    """Encode the reply frame of a batch from (instance, action) pairs."""
    body = b"".join([encode_action(instance, action) for instance, action in actions])
    return REPLY_HEADER.pack(len(actions), len(body)) + body
