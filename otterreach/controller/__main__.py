"""Entry point of a controller (`python3 -m otterreach.controller`), configured by the settings file."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import otterreach.runtime.ignore_hangup
from otterreach.controller.messages import ApiCall
from otterreach.controller.node import ControllerNode
from otterreach.runtime.caller_limits import frame_admission
from otterreach.runtime.journal import Journal, open_journal
from otterreach.runtime.metrics_listener import MetricsListener
from otterreach.runtime.node import Node, on_signals, run_role
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.settings import Settings

if TYPE_CHECKING:
    from otterreach.runtime.figures import MetricSource

JOURNAL = "control.journal"
CALL_COPIES = 4  # of a call that another controller forwards: message, body, text and values


def metric_sources(node: Node, journal: Journal, controller: ControllerNode) -> tuple[MetricSource, ...]:
    """Return the sources of a controller's metrics. Their modules are imported lazily, to keep the start short."""
    from otterreach.controller.figures import controller_metrics
    from otterreach.runtime.node_figures import journal_metrics, node_metrics

    return partial(node_metrics, node), partial(journal_metrics, journal), partial(controller_metrics, controller)


async def serve(settings: Settings) -> None:
    """Run a controller until SIGTERM."""
    assert settings.datadir is not None
    endpoint = Endpoint()
    endpoint.limit_memory(ApiCall, frame_admission(settings, CALL_COPIES))
    node = Node(settings, endpoint)
    journal, records = open_journal(settings.datadir / JOURNAL)
    on_signals(node.stopping.set, node.reload)
    controller = ControllerNode(settings, node, journal)
    await MetricsListener(partial(metric_sources, node, journal, controller)).listen(settings.ip)
    await controller.run(records)


if __name__ == "__main__":
    run_role(serve)
