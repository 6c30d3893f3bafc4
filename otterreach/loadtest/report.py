"""Results of plays: JSON, an HTML report with plots, a text table, and a comparison of two folders."""

from __future__ import annotations

import html
import json
from pathlib import Path
from typing import Any

from otterreach.loadtest.plan import Plan
from otterreach.loadtest.play import PlayResult
from otterreach.loadtest.trainer import LATE_GRACE_S

WIDTH = 640
HEIGHT = 220
LEFT = 50
BOTTOM = 30
COLORS = ("#2a6fb0", "#c8553d", "#3a8a4d", "#8a5fa8", "#b08a2a")
Line = list[tuple[float, float]]


def next_number(folder: Path) -> int:
    """Return the number of the next result in a folder."""
    return 1 + max((int(p.stem.rpartition("-")[2]) for p in folder.glob("result-*.json")), default=0)


def _trainer(part: Any) -> dict[str, Any]:
    jobs = [job for job in part.jobs if job.accepted_at]
    limit = part.route.due_ms / 1000 + LATE_GRACE_S
    wanted = sum(job.wanted for job in part.jobs)
    return {
        "steps": len(part.jobs),
        "taken": len(jobs),
        "steps_whole": sum(job.complete_groups(limit) >= job.wanted for job in jobs),
        "groups_wanted": wanted,
        "groups_in_time": sum(min(job.wanted, job.complete_groups(limit)) for job in jobs),
        "groups": part.groups.points(),
        "accepts": part.accepts.points(),
        "step_s": [round(max(job.group_times.values(), default=0.0), 3) for job in jobs],
    }


def _callers(part: Any) -> dict[str, Any]:
    tally = part.tally
    return {
        "asked": tally.asked,
        "served": tally.served,
        "late": tally.late,
        "statuses": tally.statuses,
        "latency": tally.latencies.points(),
        "by_second": {str(s): row for s, row in sorted(tally.by_second.items())},
    }


def _unique(names: list[str]) -> list[str]:
    return [name if names.count(name) == 1 else f"{name}-{n}" for n, name in enumerate(names)]


def result_of(played: PlayResult) -> dict[str, Any]:
    """Return the result of a play as JSON data."""
    plan: Plan = played.plan
    callers = dict(zip(_unique([p.tally.name for p in played.callers]), map(_callers, played.callers), strict=True))
    names = _unique([p.row.route for p in played.trainers])
    return {
        "plan": plan.to_dict(),
        "seconds": played.seconds,
        "started_s": round(played.started_s, 2),
        "callers": callers,
        "trainers": dict(zip(names, map(_trainer, played.trainers), strict=True)),
        "machines": {
            m.name: {"cpu_s": round(m.used.cpu_s, 2), "peak_mb": round(m.used.peak_mb, 1)} for m in played.machines
        },
        "counts": played.counts,
        "faults": played.faults,
    }


def figures(result: dict[str, Any]) -> dict[str, float]:
    """Return the figures of the table and the comparison, by name."""
    rows: dict[str, float] = {"ready after s": result["started_s"], "faults": len(result["faults"])}
    for name, c in result["callers"].items():
        rows[f"{name} served %"] = 100 * c["served"] / max(1, c["asked"])
        rows[f"{name} in time %"] = 100 * (c["served"] - c["late"]) / max(1, c["asked"])
        rows |= {f"{name} p{p} ms": 1000 * c["latency"].get(p, 0.0) for p in ("50", "99")}
    for name, t in result["trainers"].items():
        rows[f"{name} steps whole"] = t["steps_whole"]
        rows[f"{name} groups in time %"] = 100 * t["groups_in_time"] / max(1, t["groups_wanted"])
        rows |= {f"{name} group p{p} ms": 1000 * t["groups"].get(p, 0.0) for p in ("50", "95")}
        rows[f"{name} taken p95 ms"] = 1000 * t["accepts"].get("95", 0.0)
    for kind in ("core", "store", "front"):
        used = [m for name, m in result["machines"].items() if name.startswith(kind)]
        rows[f"{kind} processor s"] = sum(m["cpu_s"] for m in used)
        rows[f"{kind} peak MB"] = max((m["peak_mb"] for m in used), default=0.0)
    rows["connections to servers"] = result["counts"].get("connections", 0)
    return rows


def _columns(rows: list[tuple[str, ...]]) -> str:
    widths = [max(len(row[n]) for row in rows) for n in range(len(rows[0]))]
    return "\n".join(
        "  ".join(
            cell.ljust(w) if n == 0 else cell.rjust(w) for n, (cell, w) in enumerate(zip(row, widths, strict=True))
        )
        for row in rows
    )


def table(result: dict[str, Any]) -> str:
    """Format the figures and the faults of one play as a text table."""
    lines = ["", _columns([(name, f"{value:.1f}") for name, value in figures(result).items()])]
    lines += [f"FAULT: {fault}" for fault in result["faults"]] or ["", "no fault found"]
    return "\n".join(lines)


def _collect(folder: Path) -> dict[str, list[float]]:
    """Collect the values of each figure from all results in a folder."""
    collected: dict[str, list[float]] = {}
    for file in sorted(folder.glob("result-*.json")):
        for name, value in figures(json.loads(file.read_text())).items():
            collected.setdefault(name, []).append(value)
    return collected


def _spread(values: list[float]) -> str:
    if not values:
        return "-"
    mean = sum(values) / len(values)
    return f"{mean:.1f} ({min(values):.1f} .. {max(values):.1f})" if len(values) > 1 else f"{mean:.1f}"


def comparison(here: Path, there: Path) -> str:
    """Format the mean and range of each figure in two folders; * marks ranges that don't overlap."""
    ours = _collect(here)
    theirs = _collect(there)
    rows: list[tuple[str, ...]] = [("", str(here), str(there), "")]
    for name in dict.fromkeys([*ours, *theirs]):
        mine = ours.get(name, [])
        other = theirs.get(name, [])
        known = min(len(mine), len(other)) > 1  # a single play has no range
        apart = known and (min(mine) > max(other) or max(mine) < min(other))
        rows.append((name, _spread(mine), _spread(other), "*" if apart else ""))
    counts = f"plays: {max(map(len, ours.values()), default=0)} and {max(map(len, theirs.values()), default=0)}"
    return "\n" + _columns(rows) + f"\n{counts}; * the spans do not overlap"


# HTML report -------------------------------------------------------------------------------------


def _plot(title: str, lines: dict[str, Line], x_label: str, marks: list[tuple[float, str]] | None = None) -> str:
    """Return an SVG plot of lines on common axes that start at 0."""
    points = [p for line in lines.values() for p in line]
    if not points:
        return ""
    x_most = max(p[0] for p in points) or 1.0
    y_most = max(p[1] for p in points) or 1.0

    def place(x: float, y: float) -> str:
        """Return the SVG coordinates of a point."""
        return f"{LEFT + x / x_most * (WIDTH - LEFT - 10):.1f},{(1 - y / y_most) * (HEIGHT - BOTTOM - 10) + 10:.1f}"

    parts = [f'<h3>{html.escape(title)}</h3><svg width="{WIDTH}" height="{HEIGHT}" font-size="11">']
    for n in range(5):
        x = x_most * n / 4
        y = y_most * n / 4
        px = place(x, 0).split(",")[0]
        py = place(0, y).split(",")[1]
        parts.append(
            f'<text x="{px}" y="{HEIGHT - 14}" text-anchor="middle">{x:g}</text>'
            f'<text x="{LEFT - 6}" y="{py}" text-anchor="end">{y:.3g}</text>'
            f'<line x1="{LEFT}" x2="{WIDTH - 10}" y1="{py}" y2="{py}" stroke="#ddd"/>'
        )
    for at, label in marks or []:
        px = place(min(at, x_most), 0).split(",")[0]
        parts.append(
            f'<line x1="{px}" x2="{px}" y1="10" y2="{HEIGHT - BOTTOM}" stroke="#999" stroke-dasharray="3">'
            f"<title>{html.escape(label)}</title></line>"
        )
    for n, (name, line) in enumerate(lines.items()):
        color = COLORS[n % len(COLORS)]
        path = " ".join(place(x, y) for x, y in line)
        parts.append(
            f'<polyline points="{path}" fill="none" stroke="{color}" stroke-width="1.6"/>'
            f'<text x="{LEFT + 8}" y="{22 + 13 * n}" fill="{color}">{html.escape(name)}</text>'
        )
    parts.append(f'<text x="{WIDTH - 10}" y="{HEIGHT - 1}" text-anchor="end">{html.escape(x_label)}</text></svg>')
    return "".join(parts)


def _percentiles(points: dict[str, float]) -> Line:
    return [(float(p), 1000 * s) for p, s in points.items()]


def page(result: dict[str, Any]) -> str:
    """Return the HTML report of a result."""
    faults = [(f["at"], f"{f['kind']} {f['target']}") for f in result["plan"]["fault"]]
    seconds: dict[str, Line] = {}
    for name, c in result["callers"].items():
        seconds[f"{name}: asked"] = [(float(s), row[0]) for s, row in c["by_second"].items()]
        seconds[f"{name}: in time"] = [(float(s), row[1]) for s, row in c["by_second"].items()]
    latencies = {name: _percentiles(c["latency"]) for name, c in result["callers"].items() if c["latency"]}
    groups = {name: _percentiles(t["groups"]) for name, t in result["trainers"].items() if t["groups"]}
    steps = {name: [(float(n), s) for n, s in enumerate(t["step_s"])] for name, t in result["trainers"].items()}
    rows = "".join(f"<tr><td>{html.escape(name)}<td align=right>{value:.1f}" for name, value in figures(result).items())
    found = "".join(f"<li>{html.escape(fault)}" for fault in result["faults"]) or "<li>none"
    plots = "".join(
        (
            _plot("Requests a second", seconds, "s from the start of traffic", faults),
            _plot("Latency of served requests, ms", latencies, "percentile"),
            _plot("From sending a batch job to a whole group, ms", groups, "percentile"),
            _plot("Last group read of each step, s", steps, "step"),
        )
    )
    return (
        f"<!doctype html><meta charset=utf-8><title>{html.escape(result['plan']['name'])}</title>"
        "<style>body{font:14px sans-serif;margin:2em;max-width:720px}td{padding:1px 12px}</style>"
        f"<h1>Plan {html.escape(result['plan']['name'])}, {result['seconds']:g} s</h1>"
        f"<h3>Faults found</h3><ul>{found}</ul>{plots}<h3>Figures</h3><table>{rows}</table>"
    )


def write(folder: Path, number: int, result: dict[str, Any]) -> None:
    """Write the result and the HTML report of a play into a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"result-{number:03}.json").write_text(json.dumps(result, indent=1))
    (folder / "report.html").write_text(page(result))
