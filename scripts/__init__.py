"""Scripts run from a checkout with the system's Python: builds, load test, tests. Standard library only."""
