"""Deterministic simulation of the system on virtual time, which checks the guarantees of the protocols under faults."""
