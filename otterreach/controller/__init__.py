"""The control plane: configuration, servers, members, versions and partitions, kept by the controllers."""
