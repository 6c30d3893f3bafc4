"""Plans of faults, drawn from the seed, and their injection into a run.

Each episode of faults is followed by a fault-free span, in which guarantees with a time limit are checked. A plan is a
list of faults, so that a failing plan can be minimized.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from otterreach.runtime.rpc import Endpoint
from otterreach.simulation.loop import OWNER
from otterreach.simulation.member_changes import MEMBER_KINDS, MemberChanges
from otterreach.simulation.world import ZONES, SimulatedMachine, World

COMMON_KINDS = ("kill", "power", "freeze", "late_freeze", "cut", "one_way", "reset", "slow_link", "slow_disk")
ALL_KINDS = (*COMMON_KINDS, "stall_disk", "full_disk", "slow_machine")  # drawn where a scenario has a leader
QUOTA = "quota"  # never drawn, only used by explicit plans
DISK_KINDS = ("slow_disk", "stall_disk", "full_disk")
CALM_S = 9.0  # syncS plus time for clients
LEADER = "leader"  # placeholder for the name of the machine that leads when the fault begins
FIRST_S = 4.0
# in a kind "fault@message": the fault begins when such a message is sent
MESSAGES = ("Prepare", "Accept", "AppendItems", "EpochHeartbeat")
AT_MESSAGE = ("kill", "power", "freeze", "late_freeze", "cut", "one_way")
AT_MESSAGE_SHARE = 0.25
LOSS_AT_APPEND_SHARE = 0.15
SKIPPED_MESSAGES = (0, 0, 1, 2, 5)
AFTER_MESSAGE_S = (0.0, 0.0005, 0.002, 0.006)
MESSAGE_WAIT_S = 2.0  # wait for the message; each kind is sent more often than this
ROOM_BYTES = 200  # free space left on a full disk
# slow machine: duration of a pause, and the interval between the starts of two pauses
SLOW_PAUSE_S = (0.01, 0.15)
SLOW_INTERVAL_S = (0.05, 0.25)
# processor quota: the machine runs at the start of each period and is paused for the rest of it
QUOTA_PERIOD_S = 0.1
QUOTA_RUN_S = 0.01
LEADER_SHARE = 0.3
ZONE = "zone:"  # prefix of a zone, as placeholder for the names of all controllers in it
LOSS_SHARE = 0.4
BRIEF_LOSS_SHARE = 0.25
# brief run: maximum start and duration of faults, and time for an election after the last one
BRIEF_S = 0.8
BRIEF_RECOVERY_S = 1.2
MEMBER_SHARE = 0.4
REPLACE_S = (5.0, 8.0)  # longer than syncS, as the replacement has to be in sync first


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault on the machines `on`, from `at` (seconds after the start of the plan) for `for_s` seconds."""

    at: float
    kind: str
    on: tuple[str, ...]
    for_s: float

    def __str__(self) -> str:
        return f"{self.at:.2f}s {self.kind} {','.join(self.on)} for {self.for_s:.2f}s"


@dataclass(frozen=True, slots=True)
class Plan:
    """The faults of a run and their times."""

    faults: tuple[Fault, ...]
    calm: tuple[tuple[float, float], ...]  # spans without any fault, in seconds after the start
    end: float

    def without(self, index: int) -> Plan:
        """Return the plan without one of its faults."""
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
    """Draw a plan of one to three episodes.

    `names` are the machines with a disk, of which up to `wipes` may lose it at once; `others` are those without one.
    With `leader`, some faults hit the machine that leads at that time; with `members`, some of the machines with a disk
    are replaced, or others join; with `zone_loss`, all machines of a zone may be lost at once.

    A frozen or partitioned machine counts as lost too, so a disk is only wiped while the machines with a disk have no
    other fault, or while all of them lose power.
    """
    faults: list[Fault] = []
    calm: list[tuple[float, float]] = []
    at = FIRST_S
    for _ in range(random.randint(1, 3)):
        calm.append((faults[-1].at if faults else 0.0, at))
        length = random.uniform(1.0, 7.0)
        if leader and random.random() < LOSS_AT_APPEND_SHARE:
            episode = _draw_loss_at_append(random, names, at, wipes)
        elif members and random.random() < MEMBER_SHARE:
            episode = [_draw_member_change(random, names, at)]
        elif zone_loss and random.random() < LOSS_SHARE:
            episode = [_draw_zone_loss(random, at)]
        elif wipes and random.random() < LOSS_SHARE:
            episode = _draw_disk_loss(random, names, others, at, length, wipes)
        else:
            episode = [_draw_fault(random, names, others, at, length, leader) for _ in range(random.randint(1, 7))]
        faults += sorted(episode, key=lambda fault: fault.at)
        # a fault that waits for a message waits up to for_s, then lasts for_s
        over = max(f.at + (2 * f.for_s if "@" in f.kind else f.for_s) for f in episode)
        calm[-1] = (calm[-1][0], at)
        calm.append((over, over + CALM_S))
        at = over + CALM_S
    spans = [span for span in calm if span[1] - span[0] >= CALM_S - 0.01]
    return Plan(tuple(faults), tuple(spans), at)


def draw_brief(random: Random, names: list[str]) -> Plan:
    """Draw a few short faults close together, without fault-free spans."""
    if random.random() < BRIEF_LOSS_SHARE:
        lost = _draw_disk_loss(random, names, [], 0.1, BRIEF_S, 1)
        faults = [replace(fault, for_s=min(fault.for_s, BRIEF_S)) for fault in lost]
    else:
        faults = [_draw_brief_fault(random, names) for _ in range(random.randint(1, 3))]
    end = max(fault.at + fault.for_s for fault in faults) + BRIEF_RECOVERY_S
    return Plan(tuple(sorted(faults, key=lambda fault: fault.at)), (), end)


def _draw_brief_fault(random: Random, names: list[str]) -> Fault:
    kind = random.choice(ALL_KINDS)
    name = random.choice([LEADER, *names])
    return Fault(random.uniform(0.1, BRIEF_S), kind, (name,), random.uniform(0.05, BRIEF_S))


def _draw_member_change(random: Random, names: list[str], at: float) -> Fault:
    kind = random.choice(MEMBER_KINDS)
    duration = random.uniform(*REPLACE_S) if kind in ("replace", "restart_in_turn") else _draw_duration(random)
    name = LEADER if random.random() < LEADER_SHARE else random.choice(names)
    return Fault(at, kind, (name,), duration)


def _draw_zone_loss(random: Random, at: float) -> Fault:
    kind = random.choice(["wipe", "power", "kill", "cut", "freeze"])
    return Fault(at, kind, (ZONE + random.choice(ZONES),), _draw_duration(random))


def _draw_loss_at_append(random: Random, names: list[str], at: float, wipes: int) -> list[Fault]:
    """Draw a loss right after a change is sent to a backup: all lose power or are killed, or some also lose disks."""
    kind = random.choice(["power", "kill", "wipe"])
    if kind != "wipe":
        return [Fault(at, f"{kind}@AppendItems", tuple(names), MESSAGE_WAIT_S)]
    lost = tuple(random.sample(names, wipes))
    rest = tuple(name for name in names if name not in lost)
    return [Fault(at, "wipe@AppendItems", lost, MESSAGE_WAIT_S), Fault(at, "power@AppendItems", rest, MESSAGE_WAIT_S)]


def _draw_disk_loss(
    random: Random, names: list[str], others: list[str], at: float, length: float, wipes: int
) -> list[Fault]:
    """Draw the loss of `wipes` disks at once, sometimes while all other machines with a disk lose power."""
    start = at + random.uniform(0.0, length)
    lost = tuple(random.sample(names, wipes))
    episode = [Fault(start, "wipe", lost, random.uniform(0.2, 5.0))]
    if random.random() < 0.4:
        rest = tuple(n for n in names if n not in lost)
        episode.append(Fault(start + random.uniform(-0.01, 0.01), "power", rest, random.uniform(0.2, 2.0)))
    if others and random.random() < 0.5:
        episode.append(_draw_fault(random, others, [], at, length))
    return episode


def _draw_fault(
    random: Random, names: list[str], others: list[str], at: float, length: float, leader: bool = False
) -> Fault:
    kind = random.choice(ALL_KINDS if leader else COMMON_KINDS)
    pool = names if random.random() < 0.7 or not others else others
    count = 1 if random.random() < 0.7 else random.randint(1, len(pool))
    if leader and random.random() < AT_MESSAGE_SHARE:
        kind = f"{random.choice(AT_MESSAGE)}@{random.choice(MESSAGES)}"
        return Fault(at + random.uniform(0.0, length), kind, (), _draw_duration(random))
    if leader and random.random() < LEADER_SHARE:
        return Fault(at + random.uniform(0.0, length), kind, (LEADER,), _draw_duration(random))
    if kind in ("cut", "one_way"):
        pool = names + others
        count = random.randint(1, max(1, len(pool) // 2))
    on = tuple(sorted(random.sample(pool, count)))
    if kind in DISK_KINDS and not set(on) <= set(names):
        kind = "kill"
    return Fault(
        at + random.uniform(0.0, length),
        kind,
        on,
        _draw_duration(random),
    )


def _draw_duration(random: Random) -> float:
    return random.choice([0.05, 0.4, 0.8, 1.5, 3.0, 5.0]) * random.uniform(0.5, 1.5)


class FaultInjector:
    """Applies a plan to a run. A machine with several faults at once recovers when the last one ends."""

    def __init__(self, world: World, plan: Plan) -> None:
        self.world = world
        self.plan = plan
        self.active: list[Fault] = []
        self.leader: Callable[[], str] = lambda: ""  # returns the name of the machine that leads, or ""
        self.members = MemberChanges(world)
        # machines of a member change, which may have been removed since
        self._changed_members: dict[Fault, list[SimulatedMachine]] = {}
        self._began: dict[Fault, Fault] = {}  # planned fault -> fault with placeholders resolved
        self.random = Random(world.seed ^ 0x57)
        self.armed: dict[Fault, int] = {}  # faults that wait for a message, and how many such messages to skip first
        self.last_change = 0.0
        self.thawed: dict[str, float] = {}  # time of the last thaw, by machine
        self.healed = -1e9  # time when a partition was last healed
        self.start = world.now
        for fault in plan.faults:
            world.call_later(fault.at, self._begin, fault)
            world.call_later(fault.at + fault.for_s, self._end, fault)

    def calm_for(self) -> float:
        """Return the seconds since the last fault ended; 0 while one is active."""
        return 0.0 if self.active else self.world.now - max(self.last_change, self.start)

    def _boxes(self, fault: Fault) -> list[SimulatedMachine]:
        """Return the machines of a fault that still exist."""
        return [self.world.boxes[name] for name in fault.on if name in self.world.boxes]

    def _resolve_names(self, fault: Fault) -> Fault:
        """Return the fault with placeholders and replaced machines resolved to current names."""
        on: set[str] = set()
        for name in fault.on:
            if name == LEADER:
                on.add(self.leader())
            elif name.startswith(ZONE):
                zone = name.removeprefix(ZONE)
                on.update(box.name for box in self.world.of_role("core") if box.zone == zone)
            else:
                on.add(self.members.current_name(name))
        return replace(fault, on=tuple(sorted(on & set(self.world.boxes))))

    def _arm(self, fault: Fault) -> None:
        """Wait until a process sends a message of the kind that the fault names."""
        self.armed[fault] = self.random.choice(SKIPPED_MESSAGES)
        self.world.lines.append(f"{self.world.now:9.3f} ARMED {fault}")

    def sent(self, sender: str, message: str) -> None:
        """Trigger the faults that wait for such a message, now or a few milliseconds later."""
        for fault in [one for one in self.armed if one.kind.endswith(f"@{message}")]:
            self.armed[fault] -= 1
            if self.armed[fault] < 0:
                del self.armed[fault]
                on = fault.on or (sender,)
                triggered = replace(fault, kind=fault.kind.partition("@")[0], on=on)
                self.world.call_later(self.random.choice(AFTER_MESSAGE_S), self._begin, triggered)
                self.world.call_later(fault.for_s, self._end, triggered)

    def watch_messages(self) -> None:
        """Report each call between processes to `sent`, for the rest of the run."""
        injector = self

        def calling(plain: Any) -> Any:
            """Wrap `Endpoint.call`."""

            def call(endpoint: Endpoint, address: str, value: Any, timeout_s: float) -> Any:
                """Report the message, then send it."""
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
        fault = self._began[planned] = self._resolve_names(planned)
        self.active.append(fault)
        self.last_change = self.world.now
        self.world.lines.append(f"{self.world.now:9.3f} FAULT {fault}")
        if fault.kind in MEMBER_KINDS:
            self._changed_members[fault] = self._boxes(fault)
            for box in self._changed_members[fault]:
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
                self._pause_repeatedly(box, self.world.now + fault.for_s)
            elif fault.kind == QUOTA:
                begins_in = self.random.uniform(0.0, QUOTA_PERIOD_S)  # machines must not be in phase
                self.world.call_later(begins_in, self._exhaust_quota, box, self.world.now + fault.for_s)
        self._apply_lasting_faults()

    def _end(self, planned: Fault) -> None:
        if "@" in planned.kind:
            self.armed.pop(planned, None)
            return
        fault = self._began.pop(planned)
        self.active.remove(fault)
        self.last_change = self.world.now
        self.world.lines.append(f"{self.world.now:9.3f} OVER  {fault}")
        for box in self._changed_members.pop(fault, []):
            if fault.kind in self.members.ends:
                self.members.ends[fault.kind](box)
        for box in self._boxes(fault):
            if fault.kind == "full_disk":
                box.disk.room = None
                box.kill()  # a node with a full disk is restarted after space has been freed
            held = {f.kind for f in self.active if box.name in f.on}
            if not held & {"power", "wipe"}:
                self.world.net.power_on(box.ip)
                if "kill" not in held and not box.up and box.restart_on_exit:
                    box.start()
            if not held & {"freeze", "late_freeze"}:
                box.thaw()
                self.thawed[box.name] = self.world.now
        self._apply_lasting_faults()

    def _pause_repeatedly(self, box: SimulatedMachine, end: float) -> None:
        """Pause a slow machine repeatedly, possibly between any two callbacks."""
        if self.world.now >= end:
            return
        if box.is_running:
            box.freeze(late=self.random.random() < 0.5)
            self.world.call_later(self.random.uniform(*SLOW_PAUSE_S), self._thaw_unless_frozen, box)
        self.world.call_later(self.random.uniform(*SLOW_INTERVAL_S), self._pause_repeatedly, box, end)

    def _exhaust_quota(self, box: SimulatedMachine, end: float) -> None:
        """Pause the machine until its next quota period begins."""
        if self.world.now >= end:
            return
        if box.is_running:
            box.freeze(late=False)
            self.world.call_later(QUOTA_PERIOD_S - QUOTA_RUN_S, self._thaw_unless_frozen, box)
        self.world.call_later(QUOTA_PERIOD_S, self._exhaust_quota, box, end)

    def _thaw_unless_frozen(self, box: SimulatedMachine) -> None:
        if not any(f.kind in ("freeze", "late_freeze") and box.name in f.on for f in self.active):
            box.thaw()
            self.thawed[box.name] = self.world.now

    def _apply_lasting_faults(self) -> None:
        """Set the partitions and the slow links and disks to those of the active faults."""
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
            net.retransmit_blocked()
