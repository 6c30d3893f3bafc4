"""otterreach: a rollout scheduler for trainers, from the sidecar's balancer to the control plane."""
