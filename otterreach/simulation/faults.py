"""What goes wrong in a run, drawn from the seed.

Episodes of trouble with calm after each, so that every promise with a time in it can be held against the clock. A plan
is a list, so that a failing one can be made smaller.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from otterreach.runtime.rpc import Endpoint
from otterreach.simulation.loop import OWNER
from otterreach.simulation.member_changes import MEMBER_KINDS, MemberChanges
from otterreach.simulation.world import ZONES, Box, World

KINDS = ("kill", "power", "freeze", "late_freeze", "cut", "one_way", "reset", "slow_link", "slow_disk")
MORE_KINDS = (*KINDS, "stall_disk", "full_disk", "slow_machine")  # where there is a leader
QUOTA = "quota"  # drawn for no seed: plans name it
ON_DISKS = ("slow_disk", "stall_disk", "full_disk")
CALM_S = 9.0  # syncS, and time for clients
LEADER = "leader"  # in place of a name: the machine that leads when the fault begins
FIRST_S = 4.0
MESSAGES = ("Prepare", "Accept", "AppendItems", "EpochHeartbeat")  # after an @: when one is sent, the fault begins
AT_MESSAGE = ("kill", "power", "freeze", "late_freeze", "cut", "one_way")
AT_MESSAGE_SHARE = 0.25
CLOSING_SHARE = 0.15
SKIPPED_MESSAGES = (0, 0, 1, 2, 5)
AFTER_MESSAGE_S = (0.0, 0.0005, 0.002, 0.006)
ARMED_S = 2.0  # longer than any kind of message is rare
ROOM_BYTES = 200  # left on a full disk
# a slow machine: how long it stands still, and how often
STILL_S = (0.01, 0.15)
TURN_S = (0.05, 0.25)
# a machine with a quota of its processor: it runs at the start of each period, then stands still
QUOTA_PERIOD_S = 0.1
QUOTA_RUNS_S = 0.01
LEADER_SHARE = 0.3
ZONE = "zone:"  # and the name of a zone, in place of a name: all controllers there
LOSS_SHARE = 0.4
BRIEF_LOSS_SHARE = 0.25
# of a brief run: faults begin and last, and what is left for an election
BRIEF_S = 0.8
BRIEF_RECOVERY_S = 1.2
MEMBER_SHARE = 0.4
REPLACE_S = (5.0, 8.0)  # syncS and more: the new one has to be there


@dataclass(frozen=True, slots=True)
class Fault:
    """From `at` (seconds from the start) for `for_s`, on the machines named."""

    at: float
    kind: str
    on: tuple[str, ...]
    for_s: float

    def __str__(self) -> str:
        return f"{self.at:.2f}s {self.kind} {','.join(self.on)} for {self.for_s:.2f}s"


@dataclass(frozen=True, slots=True)
class Plan:
    """What goes wrong in a run, and when."""

    faults: tuple[Fault, ...]
    calm: tuple[tuple[float, float], ...]  # spans without any fault, from the start
    end: float

    def without(self, index: int) -> Plan:
        """The plan without one of its faults."""
        return replace(self, faults=self.faults[:index] + self.faults[index + 1 :])


def draw(
    random: Random,
    names: list[str],
    others: list[str],
    wipes: int,
    leader: bool = False,
    members: bool = False,
    zone_loss: bool = False,
) -> Plan:
    """`names`: machines that count, of which `wipes` may lose their disks at once; `others`: those without a disk.

    `leader`: some faults are on the machine that leads at that time; `members`: some of the machines that count are
    replaced, or others join; `zone_loss`: all machines of a zone may be lost at once.

    A machine that stands still or is cut off counts as lost too, so a disk goes only while nothing else is wrong with
    those that count, or while all of them lose power.
    """
    faults: list[Fault] = []
    calm: list[tuple[float, float]] = []
    at = FIRST_S
    for _ in range(random.randint(1, 3)):
        calm.append((faults[-1].at if faults else 0.0, at))
        length = random.uniform(1.0, 7.0)
        if leader and random.random() < CLOSING_SHARE:
            episode = _closing(random, names, at, wipes)
        elif members and random.random() < MEMBER_SHARE:
            episode = [_member_change(random, names, at)]
        elif zone_loss and random.random() < LOSS_SHARE:
            episode = [_zone_loss(random, at)]
        elif wipes and random.random() < LOSS_SHARE:
            episode = _loss(random, names, others, at, length, wipes)
        else:
            episode = [_one(random, names, others, at, length, leader) for _ in range(random.randint(1, 7))]
        faults += sorted(episode, key=lambda fault: fault.at)
        over = max(f.at + (2 * f.for_s if "@" in f.kind else f.for_s) for f in episode)  # armed, then met
        calm[-1] = (calm[-1][0], at)
        calm.append((over, over + CALM_S))
        at = over + CALM_S
    spans = [span for span in calm if span[1] - span[0] >= CALM_S - 0.01]
    return Plan(tuple(faults), tuple(spans), at)


def draw_brief(random: Random, names: list[str]) -> Plan:
    """A few short faults close together, and no calm between them."""
    if random.random() < BRIEF_LOSS_SHARE:
        lost = _loss(random, names, [], 0.1, BRIEF_S, 1)
        faults = [replace(fault, for_s=min(fault.for_s, BRIEF_S)) for fault in lost]
    else:
        faults = [_brief_fault(random, names) for _ in range(random.randint(1, 3))]
    end = max(fault.at + fault.for_s for fault in faults) + BRIEF_RECOVERY_S
    return Plan(tuple(sorted(faults, key=lambda fault: fault.at)), (), end)


def _brief_fault(random: Random, names: list[str]) -> Fault:
    kind = random.choice(MORE_KINDS)
    name = random.choice([LEADER, *names])
    return Fault(random.uniform(0.1, BRIEF_S), kind, (name,), random.uniform(0.05, BRIEF_S))


def _member_change(random: Random, names: list[str], at: float) -> Fault:
    kind = random.choice(MEMBER_KINDS)
    duration = random.uniform(*REPLACE_S) if kind in ("replace", "restart_in_turn") else _duration(random)
    name = LEADER if random.random() < LEADER_SHARE else random.choice(names)
    return Fault(at, kind, (name,), duration)


def _zone_loss(random: Random, at: float) -> Fault:
    kind = random.choice(["wipe", "power", "kill", "cut", "freeze"])
    return Fault(at, kind, (ZONE + random.choice(ZONES),), _duration(random))


def _closing(random: Random, names: list[str], at: float, wipes: int) -> list[Fault]:
    """Right after a change was sent on to a backup: all lose power or are killed, or some disks go as well."""
    kind = random.choice(["power", "kill", "wipe"])
    if kind != "wipe":
        return [Fault(at, f"{kind}@AppendItems", tuple(names), ARMED_S)]
    lost = tuple(random.sample(names, wipes))
    rest = tuple(name for name in names if name not in lost)
    return [Fault(at, "wipe@AppendItems", lost, ARMED_S), Fault(at, "power@AppendItems", rest, ARMED_S)]


def _loss(random: Random, names: list[str], others: list[str], at: float, length: float, wipes: int) -> list[Fault]:
    """Disks go, as many as the system has to bear at once; at times while all else that counts loses power."""
    start = at + random.uniform(0.0, length)
    lost = tuple(random.sample(names, wipes))
    episode = [Fault(start, "wipe", lost, random.uniform(0.2, 5.0))]
    if random.random() < 0.4:
        rest = tuple(n for n in names if n not in lost)
        episode.append(Fault(start + random.uniform(-0.01, 0.01), "power", rest, random.uniform(0.2, 2.0)))
    if others and random.random() < 0.5:
        episode.append(_one(random, others, [], at, length))
    return episode


def _one(random: Random, names: list[str], others: list[str], at: float, length: float, leader: bool = False) -> Fault:
    kind = random.choice(MORE_KINDS if leader else KINDS)
    pool = names if random.random() < 0.7 or not others else others
    count = 1 if random.random() < 0.7 else random.randint(1, len(pool))
    if leader and random.random() < AT_MESSAGE_SHARE:
        kind = f"{random.choice(AT_MESSAGE)}@{random.choice(MESSAGES)}"
        return Fault(at + random.uniform(0.0, length), kind, (), _duration(random))
    if leader and random.random() < LEADER_SHARE:
        return Fault(at + random.uniform(0.0, length), kind, (LEADER,), _duration(random))
    if kind in ("cut", "one_way"):
        pool = names + others
        count = random.randint(1, max(1, len(pool) // 2))
    on = tuple(sorted(random.sample(pool, count)))
    if kind in ON_DISKS and not set(on) <= set(names):
        kind = "kill"
    return Fault(
        at + random.uniform(0.0, length),
        kind,
        on,
        _duration(random),
    )


def _duration(random: Random) -> float:
    return random.choice([0.05, 0.4, 0.8, 1.5, 3.0, 5.0]) * random.uniform(0.5, 1.5)


class FaultInjector:
    """Carries a plan out. Machines under several faults at a time come back when the last one is over."""

    def __init__(self, world: World, plan: Plan) -> None:
        self.world = world
        self.plan = plan
        self.active: list[Fault] = []
        self.leader: Callable[[], str] = lambda: ""  # name of the machine that leads
        self.members = MemberChanges(world)
        self._gone: dict[Fault, list[Box]] = {}  # machines of a member change, which may have left the world
        self._began: dict[Fault, Fault] = {}  # with the names that were meant
        self.random = Random(world.seed ^ 0x57)
        self.armed: dict[Fault, int] = {}  # those that wait for a message: how many of its kind pass before
        self.last_change = 0.0
        self.thawed: dict[str, float] = {}  # by machine, when last
        self.healed = -1e9  # when a cut was last over
        self.start = world.now
        for fault in plan.faults:
            world.plainly(fault.at, self._begin, fault)
            world.plainly(fault.at + fault.for_s, self._end, fault)

    def calm_for(self) -> float:
        """Seconds since anything was wrong."""
        return 0.0 if self.active else self.world.now - max(self.last_change, self.start)

    def _boxes(self, fault: Fault) -> list[Box]:
        """Those that are still there."""
        return [self.world.boxes[name] for name in fault.on if name in self.world.boxes]

    def _named(self, fault: Fault) -> Fault:
        """The fault with the name of the machine that leads now."""
        on: set[str] = set()
        for name in fault.on:
            if name == LEADER:
                on.add(self.leader())
            elif name.startswith(ZONE):
                zone = name.removeprefix(ZONE)
                on.update(box.name for box in self.world.of_role("core") if box.zone == zone)
            else:
                on.add(self.members.present(name))
        return replace(fault, on=tuple(sorted(on & set(self.world.boxes))))

    def _arm(self, fault: Fault) -> None:
        """Wait for a message of the kind that the fault names, sent by any controller."""
        self.armed[fault] = self.random.choice(SKIPPED_MESSAGES)
        self.world.lines.append(f"{self.world.now:9.3f} ARMED {fault}")

    def sent(self, sender: str, message: str) -> None:
        """A process calls another. What waits for such a message happens now, or a moment later."""
        for fault in [one for one in self.armed if one.kind.endswith(f"@{message}")]:
            self.armed[fault] -= 1
            if self.armed[fault] < 0:
                del self.armed[fault]
                on = fault.on or (sender,)
                met = replace(fault, kind=fault.kind.partition("@")[0], on=on)
                self.world.plainly(self.random.choice(AFTER_MESSAGE_S), self._begin, met)
                self.world.plainly(fault.for_s, self._end, met)

    def watch_messages(self) -> None:
        """For as long as the run lasts: tell `sent` of each call between processes."""
        injector = self

        def calling(plain: Any) -> Any:
            """The wrapped `Endpoint.call`."""

            def call(endpoint: Endpoint, address: str, value: Any, timeout_s: float) -> Any:
                """Record the message, then send it."""
                owner = OWNER.get()
                if injector.armed and owner is not None and owner.name in injector.world.boxes:
                    injector.sent(owner.name, type(value).__name__)
                return plain(endpoint, address, value, timeout_s)

            return call

        self.world.wrap(Endpoint, "call", calling)

    def _begin(self, planned: Fault) -> None:
        if "@" in planned.kind:
            self._arm(planned)
            return
        fault = self._began[planned] = self._named(planned)
        self.active.append(fault)
        self.last_change = self.world.now
        self.world.lines.append(f"{self.world.now:9.3f} FAULT {fault}")
        if fault.kind in MEMBER_KINDS:
            self._gone[fault] = self._boxes(fault)
            for box in self._gone[fault]:
                self.members.begins[fault.kind](box, fault.for_s)
        for box in self._boxes(fault):
            if fault.kind == "kill":
                box.kill()
            elif fault.kind in ("power", "wipe"):
                box.power_off(fault.kind == "wipe")
            elif fault.kind in ("freeze", "late_freeze"):
                box.freeze(late=fault.kind == "late_freeze")
            elif fault.kind == "reset":
                self.world.net.reset_some(box.ip, 0.7)
            elif fault.kind == "stall_disk":
                box.disk.stalled_until = self.world.now + fault.for_s
            elif fault.kind == "full_disk":
                box.disk.room = len(box.disk.data) + ROOM_BYTES
            elif fault.kind == "slow_machine":
                self._stutter(box, self.world.now + fault.for_s)
            elif fault.kind == QUOTA:
                begins_in = self.random.uniform(0.0, QUOTA_PERIOD_S)  # not all machines in step
                self.world.plainly(begins_in, self._use_quota_up, box, self.world.now + fault.for_s)
        self._levels()

    def _end(self, planned: Fault) -> None:
        if "@" in planned.kind:
            self.armed.pop(planned, None)
            return
        fault = self._began.pop(planned)
        self.active.remove(fault)
        self.last_change = self.world.now
        self.world.lines.append(f"{self.world.now:9.3f} OVER  {fault}")
        for box in self._gone.pop(fault, []):
            if fault.kind in self.members.ends:
                self.members.ends[fault.kind](box)
        for box in self._boxes(fault):
            if fault.kind == "full_disk":
                box.disk.room = None
                box.kill()  # whoever gives it room starts it anew
            held = {f.kind for f in self.active if box.name in f.on}
            if not held & {"power", "wipe"}:
                self.world.net.power_on(box.ip)
                if "kill" not in held and not box.up and box.wanted:
                    box.start()
            if not held & {"freeze", "late_freeze"}:
                box.thaw()
                self.thawed[box.name] = self.world.now
        self._levels()

    def _stutter(self, box: Box, end: float) -> None:
        """A slow machine: it stands still again and again, between any two callbacks."""
        if self.world.now >= end:
            return
        if box.runs:
            box.freeze(late=self.random.random() < 0.5)
            self.world.plainly(self.random.uniform(*STILL_S), self._go_on, box)
        self.world.plainly(self.random.uniform(*TURN_S), self._stutter, box, end)

    def _use_quota_up(self, box: Box, end: float) -> None:
        """The quota of a period is spent: the machine stands still until the next one."""
        if self.world.now >= end:
            return
        if box.runs:
            box.freeze(late=False)
            self.world.plainly(QUOTA_PERIOD_S - QUOTA_RUNS_S, self._go_on, box)
        self.world.plainly(QUOTA_PERIOD_S, self._use_quota_up, box, end)

    def _go_on(self, box: Box) -> None:
        if not any(f.kind in ("freeze", "late_freeze") and box.name in f.on for f in self.active):
            box.thaw()
            self.thawed[box.name] = self.world.now

    def _levels(self) -> None:
        """Cuts and slowness as the faults that are active now make them."""
        net = self.world.net
        before = set(net.cuts)
        net.cuts.clear()
        net.slow.clear()
        every = [box.ip for box in self.world.boxes.values()]
        for box in self.world.boxes.values():
            box.disk.slow_s = 0.0
        for fault in self.active:
            inside = [box.ip for box in self._boxes(fault)]
            if fault.kind in ("cut", "one_way"):
                outside = [ip for ip in every if ip not in inside]
                net.cut(inside, outside, both_ways=fault.kind == "cut")
            for box in self._boxes(fault):
                if fault.kind == "slow_link":
                    net.slow[box.ip] = 0.15
                elif fault.kind == "slow_disk":
                    box.disk.slow_s = 0.3
        if before - net.cuts:
            self.healed = self.world.now
            net.again()
