"""Application of a PATCH to the configuration: items are removed, added or replaced by name.

It operates on the JSON as received, because unknown fields have to be preserved.
"""

from __future__ import annotations

from typing import Any

from otterreach.controller.config_schema import Document, first_duplicate
from otterreach.runtime.codes import Code, Failure

EMPTY_DOCUMENT: Document = {"gen": 0, "routes": [], "backends": []}  # the base of the first PATCH


def apply_patch(patch: Document, base: Document) -> Document | Failure:
    """Apply removals, then upserts, without modifying `base`.

    A replaced item keeps its position; a new one is appended.

    :returns: the changed document, which still has to be validated; CONFIG_FIELD or CONFIG_NAMES for an invalid patch
    """
    upsert = patch.get("upsert") or {}
    remove = patch.get("remove") or {}
    for key, value in (("upsert", upsert), ("remove", remove)):
        if not isinstance(value, dict):
            return Failure(Code.CONFIG_FIELD, f"{key}: an object is needed")
    changed = dict(base)
    for kind, names in remove.items():
        if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
            return Failure(Code.CONFIG_FIELD, f"remove.{kind}: a list of names is needed")
        replaced = _names_of(upsert.get(kind))
        if kind in changed:
            changed[kind] = _without(changed[kind], set(names) - replaced)
    for kind, rows in upsert.items():
        if isinstance(rows, dict) and not isinstance(base.get(kind), list):
            changed[kind] = rows
            continue
        merged = _merge(kind, changed.get(kind), rows)
        if isinstance(merged, Failure):
            return merged
        changed[kind] = merged
    changed["gen"] = patch["gen"]
    return changed


def _names_of(rows: Any) -> set[str]:
    if not isinstance(rows, list):
        return set()
    return {str(row.get("name")) for row in rows if isinstance(row, dict)}


def _without(rows: Any, names: set[str]) -> Any:
    if not isinstance(rows, list):
        return rows
    return [row for row in rows if not isinstance(row, dict) or row.get("name") not in names]


def _all_named(rows: list[Any]) -> bool:
    return all(isinstance(row, dict) and isinstance(row.get("name"), str) for row in rows)


def _merge(kind: str, old: Any, rows: Any) -> list[Any] | Failure:
    old = [] if old is None else old
    if not isinstance(rows, list) or not isinstance(old, list):
        return Failure(Code.CONFIG_FIELD, f"upsert.{kind}: a list of items is needed")
    if not _all_named(rows) or not _all_named(old):
        return Failure(Code.CONFIG_FIELD, f"upsert.{kind}.name: each item needs one")
    if (name := first_duplicate([row["name"] for row in rows])) is not None:
        return Failure(Code.CONFIG_NAMES, f"upsert.{kind}.name: {name!r} stands twice")
    merged = {row["name"]: row for row in old}
    merged.update((row["name"], row) for row in rows)
    return list(merged.values())
