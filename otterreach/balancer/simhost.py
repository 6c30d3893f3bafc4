"""Adapter that runs decision modules on the simulator's protocol, over standard input and output."""

from __future__ import annotations

import json
import sys
from typing import BinaryIO

import otterreach.balancer.interface as api
import otterreach.balancer.wire as wire
from otterreach.balancer.logic import Balancer
from otterreach.balancer.settings_reader import SettingsError


class Host:
    """Balancer instances of this process. They share only the numbered endpoint lists of the protocol."""

    def __init__(self) -> None:
        self._balancers: dict[int, Balancer] = {}
        self._endpoint_lists: dict[int, tuple[api.Listed, ...]] = {}

    def handle_batch(self, now_ns: int, count: int, body: bytes) -> list[tuple[int, api.Action]]:
        """Handle the events of a batch in order.

        :returns: the actions, each with its instance
        :raises WireError: the batch is malformed
        """
        reply: list[tuple[int, api.Action]] = []
        for instance, event in wire.decode_batch(count, body):
            if isinstance(event, wire.EndpointList):
                self._endpoint_lists[event.number] = event.entries
                continue
            try:
                reply.extend((instance, action) for action in self._handle_event(now_ns, instance, event))
            except wire.WireError:
                raise
            except Exception as error:  # reported by an action; the other instances go on
                self._balancers.pop(instance, None)
                reply.append((instance, api.Fault(f"{type(error).__name__}: {error}")))
        return reply

    def _handle_event(self, now_ns: int, instance: int, event: wire.WireEvent) -> list[api.Action]:
        if isinstance(event, wire.InstanceStart):
            self._balancers.pop(instance, None)
            settings = api.Settings.from_dict(_parse_settings(event.params))
            self._balancers[instance] = Balancer(settings, event.seed)
            return []
        if isinstance(event, wire.InstanceEnd):
            self._balancers.pop(instance, None)
            return []
        balancer = self._balancers.get(instance)
        if balancer is None or isinstance(event, wire.EndpointList):
            return []
        if isinstance(event, wire.RosterRef):
            event = self._resolve(event)
        elif isinstance(event, api.Request) and event.class_index >= len(balancer.settings.classes):
            raise SettingsError(f"request class {event.class_index} is not in the settings")
        return balancer.handle(now_ns, event)

    def _resolve(self, ref: wire.RosterRef) -> api.Roster:
        form = api.RosterForm(ref.form)
        if form is api.RosterForm.FAILED:
            return api.Roster(ref.version, form)
        if ref.list_number not in self._endpoint_lists:
            raise wire.WireError(f"roster refers to unknown endpoint list {ref.list_number}")
        return api.Roster(ref.version, form, self._endpoint_lists[ref.list_number])


def _parse_settings(params: bytes) -> dict[str, object]:
    try:
        raw = json.loads(params)
    except ValueError as error:
        raise SettingsError(f"settings are not valid JSON: {error}") from None
    if not isinstance(raw, dict):
        raise SettingsError(f"settings: expected a JSON object, got {type(raw).__name__}")
    return raw


def _read_exactly(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    if len(data) < size:
        raise wire.WireError(f"input ended inside a frame: got {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends at a batch boundary.

    :raises WireError: a frame is malformed, or the input ends inside one
    """
    host = Host()
    while first := source.read(1):
        header = first + _read_exactly(source, wire.BATCH_HEADER.size - 1)
        count, size, now_ns = wire.BATCH_HEADER.unpack(header)
        if size < wire.CLOCK_BYTES:
            raise wire.WireError(
                f"batch length {size} is below the {wire.CLOCK_BYTES} bytes of the clock field"
            )
        body = _read_exactly(source, size - wire.CLOCK_BYTES)
        sink.write(wire.encode_reply(host.handle_batch(now_ns, count, body)))
        sink.flush()


def main() -> int:
    """Serve until the simulator closes the pipe; return 2 after a malformed frame."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"otterreach.balancer.simhost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
