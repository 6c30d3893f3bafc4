"""Validation of the results that proxies report for items."""

from __future__ import annotations

from otterreach.jobstore.job import Job, JobItem
from otterreach.jobstore.job_routes import JobRoutes
from otterreach.jobstore.messages import ItemFinished

# States of a finished item, and reasons of an errored one.
DONE = "done"
ERRORED = "errored"
WAITED = "waited"  # for longer than the route's maxWaitS
ROUTE_GONE = "route_gone"
ERRORS = ("unprocessable", "failed", "reward_failed", WAITED, ROUTE_GONE)


def rejection_reason(routes: JobRoutes, job: Job, item: JobItem, finished: ItemFinished, now: float) -> str:
    """Return why this can't be the result of the item; empty if it can.

    :param now: the time on the monotonic clock
    """
    if finished.state == DONE:
        return _done_rejection(routes, job, item, finished)
    return _errored_rejection(routes, job, finished, now)


def _done_rejection(routes: JobRoutes, job: Job, item: JobItem, finished: ItemFinished) -> str:
    if item.scorer_id and not finished.score:
        return "no score"
    if job.has_versions and not finished.versions:
        return "no versions"
    if job.min_version and any(version < job.min_version for version in finished.versions):
        return f"versions {finished.versions} below {job.min_version}"
    route = routes.route_of(job)
    if route and route.single and len(set(finished.versions)) > 1:
        return f"versions {finished.versions} on a route with one"
    return ""


def _errored_rejection(routes: JobRoutes, job: Job, finished: ItemFinished, now: float) -> str:
    if finished.state != ERRORED or finished.reason not in ERRORS:
        return f"state {finished.state} {finished.reason}"
    if finished.reason == WAITED and now - job.received_at < routes.deadlines(job).max_wait_s:
        return "not yet maxWaitS"
    if finished.reason == ROUTE_GONE and not routes.is_gone(job):
        return "the route is there"
    return ""
