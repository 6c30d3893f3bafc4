"""Decisions on changes of the operator's configuration: accepted, rejected, or a repeat of an accepted change.

All functions are pure: each decides on the basis of a given control state and modifies nothing.
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
    """The result for a change that neither yields a new configuration nor is rejected."""

    REPEATED = "already"  # the same change has already been accepted: the response is 200, and nothing changes


REPEATED = Verdict.REPEATED


def parse_if_match(header: str | None) -> int | Failure:
    """Return the version in an If-Match header, quoted or unquoted."""
    found = _IF_MATCH.fullmatch(header or "")
    return int(found[2]) if found else Failure(Code.CONFIG_FIELD, f"If-Match: {header!r} is no version")


def change_of(method: str, body: bytes, if_match: int) -> AcceptedChange:
    """Return the entry for a change in the change history."""
    return AcceptedChange(if_match, digest_of(method, if_match, body))


def check_change(
    method: str, body: bytes, current: Document | None, if_match: int, history: ChangeHistory
) -> Document | Verdict | Failure:
    """Return the configuration that results from a PUT or PATCH, or REPEATED, or the reason for rejecting it."""
    check = check_put if method == "PUT" else check_patch
    return check(body, current, if_match, history)


def check_put(
    body: bytes, current: Document | None, if_match: int, history: ChangeHistory = EMPTY_HISTORY
) -> Document | Verdict | Failure:
    """Return the body of a PUT as the next configuration.

    The result is REPEATED if the body equals the current configuration or the same PUT has been accepted before.
    """
    if history.was_accepted(change_of("PUT", body, if_match)):
        return REPEATED
    raw = read_body(body)
    if isinstance(raw, Failure):
        return raw
    if current is not None and _same_value(raw, current):
        return REPEATED
    failure = validate(raw)
    if failure is None:
        failure = _check_order(ConfigurationRecord(raw).version, current, if_match, history)
    return raw if failure is None else failure


def check_patch(
    body: bytes, current: Document | None, if_match: int, history: ChangeHistory = EMPTY_HISTORY
) -> Document | Verdict | Failure:
    """Return the current configuration with the body of a PATCH applied, or REPEATED if it has been accepted before.

    A PATCH that would change nothing is not necessarily a repeat: another operator's change may have had the same
    effect and more.
    """
    if history.was_accepted(change_of("PATCH", body, if_match)):
        return REPEATED
    patch = read_body(body)
    if isinstance(patch, Failure):
        return patch
    gen = patch.get("gen")
    if type(gen) is not int:
        return Failure(Code.CONFIG_FIELD, "gen: a whole number is needed")
    # The order is checked before the patch is applied: a valid patch may look invalid on a version other than its base.
    if (failure := _check_order(gen, current, if_match, history)) is not None:
        return failure
    changed = apply_patch(patch, EMPTY_DOCUMENT if current is None else current)
    if isinstance(changed, Failure):
        return changed
    failure = validate(changed)
    return changed if failure is None else failure


def _check_order(gen: int, current: Document | None, if_match: int, history: ChangeHistory) -> Failure | None:
    """Check If-Match and `gen` against the current version.

    A stale If-Match is reported before an outdated `gen`, so that a lost write race is reported as such.
    """
    version = ConfigurationRecord(current).version if current else 0
    if history.may_be_overwritten(if_match):
        return Failure(Code.CONFIG_FORGOTTEN, f"If-Match: {if_match} is older than the changes that are remembered")
    if if_match != version:
        return Failure(Code.CONFIG_STALE_MATCH, f"If-Match: {if_match}, and {version} is current")
    if gen <= version:
        return Failure(Code.CONFIG_OLD_NUMBER, f"gen: {gen} is not above {version}")
    return None


def _same_value(one: Document, other: Document) -> bool:
    """Return True if two documents are equal up to whitespace and key order; 1, 1.0 and true are different."""
    return one.get("gen") == other.get("gen") and _canonical(one) == _canonical(other)


def _canonical(value: object) -> str:
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


_STATUSES = {Code.CONFIG_STALE_MATCH: 412, Code.UNKNOWN_NODE: 404, Code.TOO_FEW_LEFT: 409}


def status_of(failure: Failure) -> int:
    """Return the HTTP status of a rejection in the operator's API; 503 makes the caller retry on another machine."""
    if failure.code in _STATUSES:
        return _STATUSES[failure.code]
    return 400 if Code.CONFIG_UNREADABLE <= failure.code <= Code.CONFIG_NAMES else 503
