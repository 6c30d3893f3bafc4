"""The calls of servers, trainers and the operator: a module for each resource, and the router that finds it.

Each resource decides on the primary's own state without waiting in between, so that two calls can't both be accepted
on one version. That state is ahead of what all replicas have: so a call is answered only once the write that it made,
or the writes that its answer rests on, are at all replicas (`ControlReplication.committed`). A call that fails there
gets 503, which leaves open whether it was accepted; its caller sends it again.
"""
