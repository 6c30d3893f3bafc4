"""What other versions and other programs see: stored files, messages, settings, codes, commands. Data: tests/data."""
