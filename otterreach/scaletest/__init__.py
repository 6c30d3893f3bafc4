"""Scale test on one machine: real processes and hollow ones, and the resource usage of each role at a given size."""
