"""Metrics over HTTP: names, types, labels, and a process that works without them."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import unittest
from collections.abc import Iterable

from prometheus_client.parser import text_string_to_metric_families

from otterreach.runtime.figures import MetricSample, MetricSource, MetricType
from otterreach.runtime.histogram import Histogram
from otterreach.runtime.metrics import METRICS_PATH, render
from otterreach.runtime.metrics_listener import MetricsListener
from otterreach.sidecar import http1


def sample() -> Iterable[MetricSample | Histogram]:
    yield MetricSample("epoch", "Its number.", 7)
    for kind, count in (("Ping", 3), ("Pong", 2)):
        yield MetricSample("messages_sent_total", "Messages.", count, {"kind": kind}, MetricType.COUNTER)
    histogram = Histogram("answer_seconds", "Answers.")
    for seconds in (0.001, 0.3, 100.0):
        histogram.observe(seconds)
    yield histogram


def samples(sources: list[MetricSource]) -> dict[tuple[str, tuple[tuple[str, str], ...]], float]:
    found = {}
    for family in text_string_to_metric_families(render(sources).decode()):
        for item in family.samples:
            found[item.name, tuple(sorted(item.labels.items()))] = item.value
    return found


class RenderTest(unittest.TestCase):
    def test_values(self) -> None:
        found = samples([sample])
        self.assertEqual(7.0, found["otterreach_epoch", ()])
        self.assertEqual(3.0, found["otterreach_messages_sent_total", (("kind", "Ping"),)])
        self.assertEqual(2.0, found["otterreach_messages_sent_total", (("kind", "Pong"),)])

    def test_a_histogram(self) -> None:
        found = samples([sample])
        buckets = {dict(labels)["le"]: value for (name, labels), value in found.items() if name.endswith("_bucket")}
        self.assertEqual((1.0, 2.0, 3.0), (buckets["0.01"], buckets["0.5"], buckets["+Inf"]))
        self.assertEqual(3.0, found["otterreach_answer_seconds_count", ()])
        self.assertAlmostEqual(100.301, found["otterreach_answer_seconds_sum", ()])

    def test_sources_may_share_a_name(self) -> None:
        def other() -> Iterable[MetricSample]:
            yield MetricSample("messages_sent_total", "Messages.", 9, {"kind": "Other"}, MetricType.COUNTER)

        found = samples([sample, other])
        self.assertEqual(9.0, found["otterreach_messages_sent_total", (("kind", "Other"),)])


class ServerTest(unittest.TestCase):
    def request(self, method: bytes, target: bytes) -> http1.Response:
        async def work() -> http1.Response:
            server = MetricsListener(lambda: [sample])
            port = await server.listen("127.0.0.1", 0)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(method + b" " + target + b" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            parser = http1.ResponseParser()
            response = None
            while response is None and (data := await reader.read(65536)):
                response = parser.feed(data)
            writer.close()
            assert response is not None, "the connection ended without an answer"
            server.stop()
            return response

        return asyncio.run(work())

    def test_answers(self) -> None:
        for method, target, status in (
            (b"GET", METRICS_PATH, 200),
            (b"GET", METRICS_PATH + b"?x=1", 200),
            (b"GET", b"/other", 404),
            (b"POST", METRICS_PATH, 405),
        ):
            self.assertEqual(status, self.request(method, target).status)
        self.assertIn(b"otterreach_epoch 7", self.request(b"GET", METRICS_PATH).body)

    def test_a_port_in_use_does_not_stop_the_process(self) -> None:
        async def work() -> tuple[int, int]:
            first = MetricsListener(list)
            port = await first.listen("127.0.0.1", 0)
            return port, await MetricsListener(list).listen("127.0.0.1", port)

        port, second = asyncio.run(work())
        self.assertGreater(port, 0)
        self.assertEqual(0, second)

    def test_the_library_is_not_imported_before_the_first_request(self) -> None:
        lazy_modules = ("prometheus_client", "otterreach.runtime.figures", "otterreach.proxy.figures")
        code = f"import sys, otterreach.proxy.__main__; sys.exit(any(name in sys.modules for name in {lazy_modules}))"
        for module in ("otterreach.proxy", "otterreach.controller", "otterreach.jobstore"):
            done = subprocess.run([sys.executable, "-c", code.replace("otterreach.proxy", module)], check=False)
            self.assertEqual(0, done.returncode, module)


if __name__ == "__main__":
    unittest.main()
