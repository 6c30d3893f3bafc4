"""Whether what a proxy reports of an item can be its result."""

from __future__ import annotations

from otterreach.jobstore.jobs import Job, JobItem
from otterreach.jobstore.messages import Finished
from otterreach.jobstore.routes import JobRoutes

ERRORS = ("unprocessable", "failed", "reward_failed", "waited", "route_gone")


def why_refused(routes: JobRoutes, job: Job, item: JobItem, finished: Finished, now: float) -> str:
    """Why this can't be the result of the item; empty if it can."""
    if finished.state == "done":
        return _wrong_done(routes, job, item, finished)
    return _wrong_error(routes, job, finished, now)


def _wrong_done(routes: JobRoutes, job: Job, item: JobItem, finished: Finished) -> str:
    if item.scorer_id and not finished.score:
        return "no score"
    if job.sampled and not finished.versions:
        return "no versions"
    if job.min_version and any(v < job.min_version for v in finished.versions):
        return f"versions {finished.versions} below {job.min_version}"
    route = routes.of(job)
    if route and route.get("single") and len(set(finished.versions)) > 1:
        return f"versions {finished.versions} on a route with one"
    return ""


def _wrong_error(routes: JobRoutes, job: Job, finished: Finished, now: float) -> str:
    if finished.state != "errored" or finished.reason not in ERRORS:
        return f"state {finished.state} {finished.reason}"
    if finished.reason == "waited" and now - job.at < routes.terms(job).max_wait_s:
        return "not yet maxWaitS"
    if finished.reason == "route_gone" and not routes.is_gone(job):
        return "the route is there"
    return ""
