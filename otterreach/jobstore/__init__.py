"""The directory of batch jobs: partitions of jobs, each with one primary and its backups under an epoch."""
