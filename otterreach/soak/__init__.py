"""Real processes under signals, restarts, lost disks and changes that overlap, with callers of coordination."""
