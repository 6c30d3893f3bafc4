"""The format of a journal file: records with checksums, one after the other. How a file is read, whatever its end.

A record is <length, crc32, synced, kind> and its payload; `synced` is how far the file was surely on disk when the
record was written. Reading stops at the first record that is not complete: after a loss of power what follows was never
synced. If a later record says that the disk had it, the file is damaged, and that is reported.
"""

from __future__ import annotations

import io
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import BinaryIO

HEADER = struct.Struct("<IIQB")  # length of the payload, crc32 of what follows it, synced, kind
SYNCED = struct.Struct("<Q")
SYNCED_OFFSET = 8  # in the header
MAX_RECORD_BYTES = 128 * 1024 * 1024
SEARCH_BYTES = 1024 * 1024  # how far past a bad record a good one is looked for

Record = tuple[int, bytes]  # kind, payload


class JournalDamagedError(Exception):
    """A record that had been synced can't be read any more."""


def pack(kind: int, payload: bytes, synced: int) -> bytes:
    """A record as it stands in the file."""
    tail = struct.pack("<QB", synced, kind)
    crc = zlib.crc32(payload, zlib.crc32(tail))
    return struct.pack("<II", len(payload), crc) + tail + payload


def scan(data: bytes) -> tuple[list[Record], int]:
    """The complete records from the start, and where they end. Raises JournalDamagedError."""
    end = end_of_records(io.BytesIO(data), len(data))
    return list(records_up_to(io.BytesIO(data), end)), end


def end_of_records(file: BinaryIO, size: int) -> int:
    """Where the complete records of a file end. One record at a time is in memory. Raises JournalDamagedError."""
    position = 0
    while (found := _read_record(file, size - position)) is not None:
        position += HEADER.size + len(found.payload)
    _check_tail(file, position, size)
    return position


def records_up_to(file: BinaryIO, end: int) -> Iterator[Record]:
    """The records up to an end that `end_of_records` has found."""
    position = 0
    while position < end:
        length, _, _, kind = HEADER.unpack(file.read(HEADER.size))
        yield kind, file.read(length)
        position += HEADER.size + length


@dataclass(frozen=True, slots=True)
class _FoundRecord:
    payload: bytes
    synced: int


def _check_tail(file: BinaryIO, end: int, size: int) -> None:
    """What follows the last complete record must never have been synced."""
    file.seek(end)
    tail = file.read(SEARCH_BYTES + HEADER.size)
    for offset in range(1, min(len(tail) - HEADER.size + 1, SEARCH_BYTES)):
        later = end + offset
        (synced,) = SYNCED.unpack_from(tail, offset + SYNCED_OFFSET)
        if not end < synced <= later:  # a checksum at each byte would take minutes
            continue
        file.seek(later)
        if (found := _read_record(file, size - later)) is not None:
            raise JournalDamagedError(f"record at byte {end} is bad, though {found.synced} bytes had been synced")


def _read_record(file: BinaryIO, left: int) -> _FoundRecord | None:
    """The record at the file's position; None if it isn't complete."""
    if left < HEADER.size:
        return None
    header = file.read(HEADER.size)
    length, crc, synced, _ = HEADER.unpack(header)
    if length > MAX_RECORD_BYTES or HEADER.size + length > left:
        return None
    payload = file.read(length)
    if zlib.crc32(payload, zlib.crc32(header[SYNCED_OFFSET:])) != crc:
        return None
    return _FoundRecord(payload, synced)
