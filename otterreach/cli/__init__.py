"""The operator's command line: configuration, state of the system, data files. `python3 -m otterreach.cli --help`."""
