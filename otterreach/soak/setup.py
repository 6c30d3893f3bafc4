"""Setup of a soak, drawn from its seed or given on the command line."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Any

from otterreach.loadtest.plan import BOUNDS, Machines, Plan, Route, Service

HISTORY_S = 20.0
FREE_S = 1.5
SOAK_BOUNDS: dict[str, Any] = BOUNDS | {"historyS": HISTORY_S, "freeMs": FREE_S * 1000.0}
SMALL_CORE = 3  # number of controllers; one may lose its disk
LARGE_CORE = 5  # number of controllers; two may lose their disks
MAJORITY_LOSS_SHARE = 0.3  # share of soaks in which a majority of controllers may be disrupted
FINAL_POWER_LOSS_SHARE = 0.4  # share of soaks that end with a power loss of all controllers
MEAN_PAUSES_S = (0.7, 1.5, 3.0)


@dataclass(frozen=True, slots=True)
class Load:
    """The clients of a soak."""

    callers_scale: int = 1  # factor on the default number of callers of coordination
    crowd_clients: int = 0  # clients of each crowd that does not behave; 0 for no crowds
    request_clients: int = 0  # clients that send requests to the proxies; 0 for no model servers


DEFAULT_LOAD = Load()


@dataclass(frozen=True, slots=True)
class SoakSetup:
    """Parameters of one soak. Times are in seconds."""

    seed: int
    seconds: float
    controllers: int
    jobstores: int
    proxies: int
    survive: int  # number of disks that may be lost at the same time
    mean_pause_s: float  # between disruptions
    may_lose_majority: bool
    final_power_loss: bool
    load: Load = DEFAULT_LOAD

    @classmethod
    def draw(
        cls,
        seed: int,
        seconds: float,
        *,
        jobstores: int = 0,
        proxies: int = 0,
        load: Load = DEFAULT_LOAD,
    ) -> SoakSetup:
        """Return a setup drawn from the seed, with the given numbers of job store nodes and proxies."""
        random = Random(seed ^ 0x50AC)
        controllers = random.choice([SMALL_CORE, LARGE_CORE])
        return cls(
            seed=seed,
            seconds=seconds,
            controllers=controllers,
            jobstores=jobstores,
            proxies=proxies,
            survive=1 if controllers == SMALL_CORE else 2,
            mean_pause_s=random.choice(MEAN_PAUSES_S),
            may_lose_majority=random.random() < MAJORITY_LOSS_SHARE,
            final_power_loss=random.random() < FINAL_POWER_LOSS_SHARE,
            load=load,
        )

    def plan(self) -> Plan:
        """Return the machines and the configuration as a plan of the load test."""
        return Plan(
            name="soak",
            seconds=self.seconds,
            machines=Machines(self.proxies, self.jobstores, self.controllers),
            zones=[f"hall-{letter}" for letter in "abcde"[: self.controllers]],
            survive=self.survive,
            seed=self.seed,
            service=[Service("marker", servers=3, cap=2, queue=2, errors=0.02)],
            route=[
                Route("lookup", "/lookup/", "marker"),
                Route("notes", "/notes/", "marker", kind="mutating", tries=4),
            ],
        )
