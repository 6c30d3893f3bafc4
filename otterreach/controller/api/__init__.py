"""HTTP API for servers, trainers and the operator: one module per resource, and the router that dispatches calls.

Each resource decides on the primary's own state without awaiting anything in between, so that two calls can't both be
accepted on the same version. That state is ahead of the replicated state. A call is therefore answered only after its
own write, or the writes that its response depends on, are on all replicas (`ControlReplication.wait_until_committed`).
If that fails, the response is 503, which leaves open whether the call was accepted; the caller retries it.
"""
