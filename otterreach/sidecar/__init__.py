"""The real sidecar: sockets, timers and framing round the decisions of `otterreach.balancer`."""
