"""Entry points of the real roles on a simulated machine."""

from __future__ import annotations

import asyncio
from typing import Any

from otterreach.controller.node import ControllerNode
from otterreach.proxy.node import Proxy
from otterreach.simulation.world import SimulatedMachine


async def controller(box: SimulatedMachine) -> None:
    """Run a controller on the machine's disk until SIGTERM."""
    node = box.new_node()
    journal = box.journal()
    records = journal.read()
    box.object = ControllerNode(node.settings, node, journal)  # type: ignore[arg-type]
    await box.object.run(records)


async def open_virtual(address: tuple[str, int], factory: Any) -> Any:
    """Open a connection on the virtual network; replaces otterreach.sidecar.transport.open_tcp."""
    _, connection = await asyncio.get_running_loop().create_connection(factory, *address)
    return connection


async def proxy(box: SimulatedMachine) -> None:
    """Run a proxy until SIGTERM: it follows the control state and can hold the singleton role of orders to servers."""
    node = box.new_node()
    box.object = Proxy(node, node.random, open_virtual)
    await node.start("front")
    await box.object.start()
    await node.stopping.wait()
