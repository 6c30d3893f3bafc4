"""Soak test: coordination clients and real processes under overlapping signals, restarts, disk losses and changes."""
