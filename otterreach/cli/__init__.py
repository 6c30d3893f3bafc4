"""Command line for operators: configuration, system state, data files. See `python3 -m otterreach.cli --help`."""
