"""Sidecar process: sockets, timers and HTTP framing around the decision logic in `otterreach.balancer`."""
