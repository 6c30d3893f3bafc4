"""Each controller answers coordination calls in the absence of faults."""

from __future__ import annotations

import asyncio
import unittest

from otterreach.controller.figures import controller_metrics
from otterreach.runtime.figures import MetricSample
from tests.controller.controller_world import Cluster
from tests.controller.coordination_support import Coordination

LATENCY_TARGET_S = 0.06  # latency target of the stricter of the two deployments


class ServedTest(unittest.TestCase):
    # Guards against coordination calls that all get 404.
    def test_calls_of_coordination_are_served(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            for turn, box in enumerate(cluster.boxes):
                with self.subTest(controller=box.name, primary=box is cluster.primary):
                    lock, key, group = f"l{turn}", f"g{turn}.key", f"g{turn}"
                    acquired = await calls.acquire(box, lock, "a3.7")
                    renewed = await calls.renew(box, lock, "a3.7", acquired.body.get("fence", 0))
                    number = await calls.number(box, f"n{turn}")
                    put = await calls.put(box, key, "5c0e7a21d94b36f8", 0)
                    read = await calls.read(box, key)
                    watch = await calls.watch(box, group, 0)
                    answers = [acquired, renewed, number, put, read, watch]
                    self.assertEqual([200] * 6, [answer.status for answer in answers])
                    self.assertLess(max(answer.took_s for answer in answers), LATENCY_TARGET_S)
                    self.assertEqual({"value": "5c0e7a21d94b36f8", "rev": 1}, read.body)
                    self.assertEqual({"rev": 1}, put.body)
                    self.assertEqual(1, watch.body["rev"])

        Cluster().run(scenario)

    # Guards against 503 for good from a controller that is not a witness because a further one would add nothing.
    def test_calls_are_served_at_a_controller_outside_the_configuration(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            outside = cluster.boxes[3]
            await asyncio.sleep(2.0)
            configuration = cluster.control(cluster.primary).accepted
            assert configuration is not None
            self.assertNotIn(outside.name, [witness.node for witness in configuration.witnesses])
            self.assertEqual(200, (await calls.number(outside, "n1")).status)
            self.assertEqual(200, (await calls.acquire(outside, "l1", "a3.7")).status)

        cluster = Cluster(zones=(0, 1, 2, 0), survive={"nodes": 1, "zones": 1})
        cluster.expected = 3
        cluster.run(scenario)

    # Guards against incidents that no metric shows: calls that are answered 404 or 503 leave no other trace.
    def test_answers_are_counted_by_resource_and_status(self) -> None:
        async def scenario(cluster: Cluster) -> None:
            calls = Coordination(cluster)
            box = cluster.others(cluster.primary)[0]
            await calls.acquire(box, "l1", "a3.7")
            await calls.acquire(box, "l1", "b1.1")
            await calls.send(box, "GET", "/nothing/l1")
            values = {
                (sample.labels["resource"], sample.labels["status"]): sample.value
                for sample in controller_metrics(box.object)
                if isinstance(sample, MetricSample) and sample.name == "api_answers_total"
            }
            self.assertEqual(1, values["locks", "200"])
            self.assertEqual(1, values["locks", "409"])
            self.assertEqual(1, values["unknown", "404"])

        Cluster().run(scenario)


if __name__ == "__main__":
    unittest.main()
