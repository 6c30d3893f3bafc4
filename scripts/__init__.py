"""What is run from a checkout with the system's own Python: builds, the load test, the tests. Standard library only."""
