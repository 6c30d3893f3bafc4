"""The batch job API for clients: submit, read and end. Calls are forwarded to the job store nodes.

A status of 429 or 503 for a submission guarantees that no part of it runs, so it is sent only if none of the calls to
the job store was executed.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from urllib.parse import parse_qs, unquote

from otterreach.jobstore.messages import EndJob, ItemBody, JobResults, ReadItem, ReadJob, SubmitJob
from otterreach.proxy.client_connection import Client
from otterreach.proxy.directory import JobStoreDirectory
from otterreach.proxy.requests import decode_latin1, parse_number, path_of
from otterreach.runtime.codes import Code, Failure
from otterreach.runtime.configuration import ROLLOUT, Route
from otterreach.runtime.rpc_messages import Done
from otterreach.sidecar import http1

JOB_PATH = "/lots/"
ITEM_PATH = "/items/"
SUBMIT_TIMEOUT_S = 0.8  # time for retries, unless the client or the route sets a shorter one
READ_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 0.8
MAX_WAIT_MS = 5000
RETRY_AFTER_S = 0.2
SUBMIT_COPIES = 1  # of the body while it is sent: the buffer of the connection to a job store node
LONG_BODY_BYTES = 1024 * 1024
BODY_BYTES_PER_S = 20e6  # the time-out of a call grows with its body
TURN_SHARE = 0.5  # of the time of a submission, to wait for others with long bodies
JSON = {b"content-type": b"application/json"}


def is_batch_job_call(request: http1.Request) -> bool:
    """Return True if a request without a route reads or ends a batch job, or reads an item."""
    path = path_of(request)
    return path.startswith((JOB_PATH, ITEM_PATH)) and request.method in (b"GET", b"DELETE")


class BatchJobs:
    """Handler of all calls of the batch job API."""

    def __init__(self, directory: JobStoreDirectory) -> None:
        self.directory = directory
        self.loop = directory.loop
        self._turns: dict[str | None, asyncio.Lock] = {}  # of long submissions, by address of the job store node

    async def handle(self, request: http1.Request, client: Client) -> None:
        """Handle GET and DELETE under /lots/ and /items/."""
        path = path_of(request)
        if path.startswith(ITEM_PATH):
            await self._item(request, client, unquote(path[len(ITEM_PATH) :]))
        elif request.method == b"DELETE":
            await self._end(client, unquote(path[len(JOB_PATH) :]))
        else:
            await self._read(request, client, unquote(path[len(JOB_PATH) :]))

    async def submit(self, request: http1.Request, client: Client, route: Route) -> None:
        """Handle a submission on a rollout route up to its answer."""
        job = decode_latin1(request.headers.get(b"request-id"))
        host = decode_latin1(request.headers.get(b"host"))
        if not job or route.kind != ROLLOUT:
            client.respond(HTTPStatus.BAD_REQUEST)
            return
        client_deadline_ms = parse_number(request.headers.get(b"deadline-ms"))
        timeout_s = min(route.timeout_s, max(SUBMIT_TIMEOUT_S, route.target_s))
        timeout_s = timeout_s if client_deadline_ms is None else min(timeout_s, client_deadline_ms / 1000)
        submission = SubmitJob(job, host, route.name, request.body)
        if not client.hold_copies(SUBMIT_COPIES):
            client.respond_unavailable(RETRY_AFTER_S)
        elif len(submission.body) <= LONG_BODY_BYTES:
            await self._submit(client, submission, timeout_s)
        else:
            await self._submit_long(client, submission, timeout_s)

    async def _submit_long(self, client: Client, submission: SubmitJob, timeout_s: float) -> None:
        """Handle a submission with a long body: one at a time for each job store node, which has little memory."""
        turn = self._turns.setdefault(self.directory.address_of(submission.job), asyncio.Lock())
        started = self.loop.time()
        try:
            async with asyncio.timeout(timeout_s * TURN_SHARE):
                await turn.acquire()
        except TimeoutError:
            client.respond_unavailable(RETRY_AFTER_S)
            return
        try:
            await self._submit(client, submission, timeout_s - (self.loop.time() - started))
        finally:
            turn.release()

    async def _submit(self, client: Client, submission: SubmitJob, timeout_s: float) -> None:
        # A retry after an unclear call is safe, because one id stands for one batch job. Answering that the submission
        # was rejected after an unclear call is not: the call may have been executed.
        call_timeout_s = CALL_TIMEOUT_S + len(submission.body) / BODY_BYTES_PER_S
        reply = await self.directory.call(submission.job, submission, timeout_s, call_timeout_s)
        if not isinstance(reply, Failure):
            client.respond(HTTPStatus.ACCEPTED)
        elif reply.maybe_done:
            client.respond(HTTPStatus.BAD_GATEWAY)
        elif reply.code is Code.JOB_ENDED:
            client.respond(HTTPStatus.ACCEPTED)
        elif reply.code is Code.BAD_JOB:
            client.respond(HTTPStatus.BAD_REQUEST)
        else:
            client.respond_unavailable(RETRY_AFTER_S)

    async def _read(self, request: http1.Request, client: Client, job: str) -> None:
        query = parse_qs(decode_latin1(request.target.partition(b"?")[2]))
        past = parse_number(query.get("past", ["0"])[0].encode())
        if past is None:
            client.respond(HTTPStatus.BAD_REQUEST)
            return
        wait_ms = min(MAX_WAIT_MS, parse_number(request.headers.get(b"wait-ms")) or 0)
        wait_s = wait_ms / 1000
        reply = await self.directory.call(
            job, ReadJob(job, past, wait_ms), READ_TIMEOUT_S + wait_s, CALL_TIMEOUT_S + wait_s
        )
        if isinstance(reply, JobResults):
            body = b'{"total":%d,"nextCursor":%d,"results":[%s]}' % (reply.total, reply.next_cursor, reply.body)
            client.respond(HTTPStatus.OK, JSON, body)
        else:
            self._missing(reply, client)

    async def _item(self, request: http1.Request, client: Client, job: str) -> None:
        item = parse_qs(decode_latin1(request.target.partition(b"?")[2])).get("id", [""])[0]
        reply = await self.directory.call(job, ReadItem(job, item), READ_TIMEOUT_S, CALL_TIMEOUT_S)
        if isinstance(reply, ItemBody):
            client.respond(HTTPStatus.OK, {b"content-type": b"application/octet-stream"}, reply.body)
        else:
            self._missing(reply, client)

    async def _end(self, client: Client, job: str) -> None:
        reply = await self.directory.call(job, EndJob(job), CALL_TIMEOUT_S, CALL_TIMEOUT_S)
        if isinstance(reply, Done) or isinstance(reply, Failure) and reply.code is Code.JOB_ENDED:
            client.respond(HTTPStatus.OK)
        else:
            self._missing(reply, client)

    def _missing(self, reply: object, client: Client) -> None:
        """Respond 404 if the job store node that serves the batch job has reported it unknown or ended, else 503."""
        gone = isinstance(reply, Failure) and reply.code in (Code.UNKNOWN_JOB, Code.UNKNOWN_ITEM, Code.JOB_ENDED)
        if gone:
            client.respond(HTTPStatus.NOT_FOUND)
        else:
            client.respond_unavailable(RETRY_AFTER_S)
