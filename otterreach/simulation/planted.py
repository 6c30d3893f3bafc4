"""Planted faults (mutation tests): the protocols run with changed source lines until a check detects the fault.

A fault replaces text in the source of functions (`old` by `new`), so that the table shows exactly what is changed. An
`old` text that no longer occurs exactly once in its function raises an error.
"""

from __future__ import annotations
import __future__

import importlib
import inspect
import sys
import textwrap
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from typing import Any
from unittest import mock

from otterreach.simulation import control, coordination, jobs
from otterreach.simulation.explore import SCENARIOS, explore
from otterreach.simulation.faults import Fault, Plan
from otterreach.simulation.world import World

RUNS: dict[str, Callable[..., tuple[World, Any]]] = {
    "control": control.run,
    "jobs": jobs.run,
    "coordination": coordination.run,
}
MARGIN_AFTER_FAULTS_S = 2.0  # time that a run continues after the end of its plan's last fault
MAX_EXPLORED_STATES = 12000  # limit of a search, after which the next seed's order is tried


@dataclass(frozen=True, slots=True)
class Change:
    """A replacement in the source of one function. `where`: module:qualified name."""

    where: str
    old: str
    new: str


@dataclass(frozen=True, slots=True)
class Planted:
    """A fault, and what detects it: a scenario of the explored small model, or seeds of a simulation."""

    name: str
    description: str
    changes: tuple[Change, ...]
    found_by: str  # a scenario of the small model, or one of RUNS
    plan: tuple[Fault, ...] = ()  # injected faults, instead of those drawn from the seed
    rule: str = ""  # the violated rule
    seed: int = 0  # a seed that detects it


@dataclass(frozen=True, slots=True)
class Find:
    """Result of the search for a planted fault."""

    rule: str  # the violated rule; empty if nothing detected the fault
    seed: int
    seeds: int  # number of seeds tried
    steps: int  # number of callbacks in the last run of a simulation, or of events in all searches of the small model


def _locate(where: str) -> tuple[Any, str, Any]:
    """Return the module or class, the attribute's name and its present value."""
    module_name, _, qualified = where.partition(":")
    owner: Any = importlib.import_module(module_name)
    *path, name = qualified.split(".")
    for part in path:
        owner = getattr(owner, part)
    return owner, name, inspect.getattr_static(owner, name)


def _function(current: Any) -> Any:
    """Return the function inside a property or a static method."""
    return getattr(current, "fget", None) or getattr(current, "__func__", None) or current


def changed(where: str, changes: list[Change]) -> Any:
    """Return the function with the changes applied. Raise ValueError if a text does not occur exactly once."""
    current = _locate(where)[2]
    function = _function(current)
    source = textwrap.dedent(inspect.getsource(function))
    for change in changes:
        if source.count(change.old) != 1:
            raise ValueError(f"{where}: {change.old!r} occurs {source.count(change.old)} times")
        source = source.replace(change.old, change.new)
    names: dict[str, Any] = {}
    flags = __future__.annotations.compiler_flag
    code = compile(source, f"<planted {where}>", "exec", flags, True)
    exec(code, sys.modules[function.__module__].__dict__, names)
    return names[function.__name__]


@contextmanager
def planted(fault: Planted) -> Iterator[None]:
    """Apply the fault; a module-level function is replaced in every module that imports it by name."""
    by_function: dict[str, list[Change]] = {}
    for change in fault.changes:
        by_function.setdefault(change.where, []).append(change)
    with ExitStack() as stack:
        for where, changes in by_function.items():
            owner, name, current = _locate(where)
            new = changed(where, changes)
            owners = [owner] if isinstance(owner, type) else _importers(name, current)
            for target in owners:
                stack.enter_context(mock.patch.object(target, name, new))
        yield


def _importers(name: str, current: Any) -> list[Any]:
    modules = [m for key, m in list(sys.modules.items()) if key.startswith("otterreach.")]
    return [m for m in modules if m.__dict__.get(name) is current]


def find(fault: Planted, first: int, seeds: int) -> Find:
    """Search the small model, or run seeds from `first` on, until the fault is detected."""
    with planted(fault):
        steps = 0
        if fault.found_by in SCENARIOS:
            for seed in range(first, first + seeds):
                found = explore(fault.found_by, most_states=MAX_EXPLORED_STATES, seed=seed)
                steps += found.events
                if found.rule:
                    return Find(found.rule, seed, seed - first + 1, steps)
            return Find("", 0, seeds, steps)
        for seed in range(first, first + seeds):
            world, _ = RUNS[fault.found_by](seed, plan_of(fault))
            steps = world.loop.steps
            if world.failure is not None:
                return Find(world.failure.rule, seed, seed - first + 1, steps)
        return Find("", 0, seeds, steps)


def plan_of(fault: Planted) -> Plan | None:
    """Return the fault's own plan, without a checked calm period; None if the seed draws the plan."""
    if not fault.plan:
        return None
    return Plan(fault.plan, (), max(f.at + f.for_s for f in fault.plan) + MARGIN_AFTER_FAULTS_S)


def passes(fault: Planted, seed: int) -> bool:
    """Return True if the code without the fault passes the run that detected it."""
    if fault.found_by in SCENARIOS:
        return not explore(fault.found_by, most_states=MAX_EXPLORED_STATES, seed=seed).rule
    return RUNS[fault.found_by](seed, plan_of(fault))[0].failure is None
