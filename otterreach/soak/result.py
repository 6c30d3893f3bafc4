"""Result of a soak: broken rules and measurements."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path

from otterreach.simulation.coordination_history import CoordinationHistory, Rule, Violation
from otterreach.soak.disruptions import Disruption
from otterreach.soak.host import HostStall
from otterreach.soak.setup import SoakSetup

MAX_SHOWN_VIOLATIONS = 10


@dataclass(slots=True)
class SoakResult:
    """Result of one soak. `late`: answers that took more than a second while every process ran; they break no rule."""

    setup: SoakSetup
    violations: list[str] = field(default_factory=list)
    late: list[str] = field(default_factory=list)
    calls: dict[str, dict[str, int]] = field(default_factory=dict)  # counts by kind of call, then by status
    disruptions: list[Disruption] = field(default_factory=list)
    host_stalls: list[HostStall] = field(default_factory=list)
    answers: dict[str, int] = field(default_factory=dict)  # to requests through the proxies, by status
    late_copies: int = 0  # of answers, which servers sent in place of the next ones
    server_faults: int = 0
    processes: int = 0
    peak_mb: float = 0.0  # sum over machines of the peak memory of their processes
    served_after_s: float = 0.0  # from the end of the disruptions until a call was served

    def add_violations(self, violations: Sequence[Violation]) -> None:
        """Add the findings of the checkers to `late` or `violations`."""
        for violation in violations:
            found = self.late if violation.rule is Rule.PROMPT else self.violations
            found.append(f"{violation.rule.name}: {violation.description}")

    def count_calls(self, history: CoordinationHistory) -> None:
        """Count the calls by kind and status."""
        for call in history.calls():
            kind = type(call).__name__
            counts = self.calls.setdefault(kind, {})
            counts[str(call.status)] = counts.get(str(call.status), 0) + 1

    def write(self, folder: Path) -> None:
        """Write the result as `result.json` to a folder."""
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "result.json").write_text(json.dumps(asdict(self), indent=1))

    def line(self) -> str:
        """Return the result as one line."""
        setup = self.setup
        statuses: Counter[str] = Counter()
        for counts in self.calls.values():
            statuses.update(counts)
        shown = " ".join(f"{status}:{count}" for status, count in sorted(statuses.items()))
        verdict = f"{len(self.violations)} VIOLATIONS" if self.violations else "no rule broken"
        return (
            f"seed {setup.seed}: {verdict}; {setup.controllers} controllers, survive {setup.survive}, "
            f"{self.processes} processes, {len(self.disruptions)} disruptions, calls {shown}, "
            f"{self._requests()}"
            f"{len(self.late)} late, {len(self.host_stalls)} host stalls, "
            f"served after {self.served_after_s:.1f} s, {self.peak_mb:.0f} MB"
        )

    def _requests(self) -> str:
        """Return the requests through the proxies, followed by a comma; empty if there were none."""
        if not self.answers:
            return ""
        shown = " ".join(f"{status}:{count}" for status, count in sorted(self.answers.items()))
        return f"requests {shown}, {self.late_copies} late copies, {self.server_faults} faults of servers, "

    def details(self) -> str:
        """Return the first violations, one per line."""
        return "\n".join(f"  {what}" for what in self.violations[:MAX_SHOWN_VIOLATIONS])
