"""A model that checks the protocols: own processes on virtual time and under faults, promises held against deeds."""
