"""The job store: partitions of batch jobs, each replicated to a primary and its backups under an epoch."""
