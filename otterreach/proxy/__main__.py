"""`python3 -m otterreach.proxy`: run one proxy, configured by the settings file."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import otterreach.runtime.ignore_hangup
from otterreach.proxy.node import Proxy
from otterreach.runtime.metrics_listener import MetricsListener
from otterreach.runtime.node import Node, on_signals, run_role
from otterreach.runtime.records import MemberRole
from otterreach.runtime.rpc import Endpoint
from otterreach.runtime.settings import Settings

if TYPE_CHECKING:
    from otterreach.runtime.figures import MetricSource


def metric_sources(node: Node, proxy: Proxy) -> tuple[MetricSource, ...]:
    """Return the sources of a proxy's metrics; imports modules that are not needed at start."""
    from otterreach.proxy.figures import proxy_metrics
    from otterreach.runtime.node_figures import node_metrics

    return partial(node_metrics, node), partial(proxy_metrics, proxy)


async def serve(settings: Settings) -> None:
    """Run a proxy until SIGTERM."""
    node = Node(settings, Endpoint())
    proxy = Proxy(node, node.random)
    await node.start(MemberRole.PROXY)
    await proxy.start()
    await MetricsListener(partial(metric_sources, node, proxy)).listen(settings.ip)
    on_signals(node.stopping.set, node.reload)
    node.endpoint.spawn(node.watch_settings())
    await node.stopping.wait()
    await proxy.stop()
    await node.endpoint.close()


if __name__ == "__main__":
    run_role(serve)
