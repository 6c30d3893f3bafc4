"""The format of a journal file, a sequence of checksummed records, and the reader that handles a torn tail.

A record is <length, crc32, synced, kind> and its payload; `synced` is the offset up to which the file was known to be
on disk when the record was written. Reading stops at the first incomplete record: after a power loss, the bytes from
there on were never synced. If the `synced` offset of a later record lies beyond the start of the incomplete one, the
incomplete one had been synced, and the file is reported as damaged.
"""

from __future__ import annotations

import io
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import BinaryIO

HEADER = struct.Struct("<IIQB")  # length of the payload, crc32 of the fields after it and the payload, synced, kind
SYNCED = struct.Struct("<Q")
SYNCED_OFFSET = 8  # offset of `synced` in the header
MAX_RECORD_BYTES = 128 * 1024 * 1024
SEARCH_BYTES = 1024 * 1024  # range after a bad record that is searched for a valid one

Record = tuple[int, bytes]  # kind, payload


class JournalDamagedError(Exception):
    """A record that had been synced can't be read."""


def pack(kind: int, payload: bytes, synced: int) -> bytes:
    """Return the encoded form of a record."""
    tail = struct.pack("<QB", synced, kind)
    crc = zlib.crc32(payload, zlib.crc32(tail))
    return struct.pack("<II", len(payload), crc) + tail + payload


def scan(data: bytes) -> tuple[list[Record], int]:
    """Return the complete records from the start, and the offset at which they end. Raise JournalDamagedError."""
    end = end_of_records(io.BytesIO(data), len(data))
    return list(records_up_to(io.BytesIO(data), end)), end


def end_of_records(file: BinaryIO, size: int) -> int:
    """Return the offset at which the complete records of a file end. Only one record at a time is in memory.

    :raises JournalDamagedError: a record after that offset had been synced
    """
    position = 0
    while (found := _read_record(file, size - position)) is not None:
        position += HEADER.size + len(found.payload)
    _check_tail(file, position, size)
    return position


def records_up_to(file: BinaryIO, end: int) -> Iterator[Record]:
    """Return the records up to an offset that `end_of_records` has returned."""
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
    """Raise JournalDamagedError if a valid record after `end` shows that the bytes at `end` had been synced."""
    file.seek(end)
    tail = file.read(SEARCH_BYTES + HEADER.size)
    for offset in range(1, min(len(tail) - HEADER.size + 1, SEARCH_BYTES)):
        later = end + offset
        (synced,) = SYNCED.unpack_from(tail, offset + SYNCED_OFFSET)
        if not end < synced <= later:  # implausible; computing a checksum at every offset would take minutes
            continue
        file.seek(later)
        if (found := _read_record(file, size - later)) is not None:
            raise JournalDamagedError(
                f"bad record at offset {end}, though the file had been synced up to offset {found.synced}"
            )


def _read_record(file: BinaryIO, left: int) -> _FoundRecord | None:
    """Return the record at the file's position, or None if it is incomplete or its checksum is wrong.

    :param left: bytes of the file from the position on
    """
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
