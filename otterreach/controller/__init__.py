"""The control plane: controllers that replicate configuration, servers, members, versions and partitions."""
