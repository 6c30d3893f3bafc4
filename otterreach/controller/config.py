"""Changes of the operator's configuration: which are accepted, which are rejected, and which are repeats.

Every function here is pure: it decides on one state of the control state, and nothing is changed by it.
"""

from __future__ import annotations

import json
import re
from enum import Enum

from otterreach.controller.change_history import EMPTY_HISTORY, ChangeHistory, digest_of
from otterreach.controller.config_patch import EMPTY_DOCUMENT, apply_patch
from otterreach.controller.config_schema import Document, read_body, validate
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.configuration import ConfigurationRecord
from otterreach.runtime.records import AcceptedChange

_IF_MATCH = re.compile(r'\s*(?:W/)?("?)([0-9]{1,18})\1\s*')


class Verdict(Enum):
    """What a change is, if it is neither a new configuration nor rejected."""

    ALREADY = "already"  # exactly this change was accepted before: the answer is 200, and nothing changes


ALREADY = Verdict.ALREADY


def parse_if_match(header: str | None) -> int | Failure:
    """The version in an If-Match header, quoted or bare."""
    found = _IF_MATCH.fullmatch(header or "")
    return int(found[2]) if found else Failure(Code.CONFIG_FIELD, f"If-Match: {header!r} is no version")


def change_of(method: str, body: bytes, if_match: int) -> AcceptedChange:
    """What the history keeps of a change."""
    return AcceptedChange(if_match, digest_of(method, if_match, body))


def check_change(
    method: str, body: bytes, current: Document | None, if_match: int, history: ChangeHistory
) -> Document | Verdict | Failure:
    """The configuration that a PUT or PATCH makes of the current one, ALREADY, or why it is rejected."""
    check = check_put if method == "PUT" else check_patch
    return check(body, current, if_match, history)


def check_put(
    body: bytes, current: Document | None, if_match: int, history: ChangeHistory = EMPTY_HISTORY
) -> Document | Verdict | Failure:
    """A PUT's body as the next configuration. ALREADY: it is the current one, or was accepted before."""
    if history.has(change_of("PUT", body, if_match)):
        return ALREADY
    raw = read_body(body)
    if isinstance(raw, Failure):
        return raw
    if current is not None and _same_value(raw, current):
        return ALREADY
    failure = validate(raw)
    if failure is None:
        failure = _check_order(ConfigurationRecord(raw).version, current, if_match, history)
    return raw if failure is None else failure


def check_patch(
    body: bytes, current: Document | None, if_match: int, history: ChangeHistory = EMPTY_HISTORY
) -> Document | Verdict | Failure:
    """A PATCH's body applied to the current configuration. ALREADY: it was accepted before.

    That it would change nothing is no proof of that: another operator's change may have done the same and more.
    """
    if history.has(change_of("PATCH", body, if_match)):
        return ALREADY
    patch = read_body(body)
    if isinstance(patch, Failure):
        return patch
    gen = patch.get("gen")
    if type(gen) is not int:
        return Failure(Code.CONFIG_FIELD, "gen: a whole number is needed")
    # Before it is applied: on another version than it was made for, a proper patch may look invalid.
    if (failure := _check_order(gen, current, if_match, history)) is not None:
        return failure
    changed = apply_patch(patch, EMPTY_DOCUMENT if current is None else current)
    if isinstance(changed, Failure):
        return changed
    failure = validate(changed)
    return changed if failure is None else failure


def _check_order(gen: int, current: Document | None, if_match: int, history: ChangeHistory) -> Failure | None:
    """A stale base is reported before an old number, so that a lost write race is reported as one."""
    version = ConfigurationRecord(current).version if current else 0
    if history.is_forgotten(if_match):
        return Failure(Code.CONFIG_FORGOTTEN, f"If-Match: {if_match} is older than the changes that are remembered")
    if if_match != version:
        return Failure(Code.CONFIG_STALE_MATCH, f"If-Match: {if_match}, and {version} is current")
    if gen <= version:
        return Failure(Code.CONFIG_OLD_NUMBER, f"gen: {gen} is not above {version}")
    return None


def _same_value(one: Document, other: Document) -> bool:
    """1, 1.0 and true differ; blanks and the order of keys don't."""
    return one.get("gen") == other.get("gen") and _canonical(one) == _canonical(other)


def _canonical(value: object) -> str:
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


_STATUSES = {Code.CONFIG_STALE_MATCH: 412, Code.UNKNOWN_NODE: 404, Code.TOO_FEW_LEFT: 409}


def status_of(failure: Failure) -> int:
    """The HTTP status of a rejection at the operator's API; 503 sends the caller on to another machine."""
    if failure.code in _STATUSES:
        return _STATUSES[failure.code]
    return 400 if Code.CONFIG_UNREADABLE <= failure.code <= Code.CONFIG_NAMES else 503
