"""The runtime shared by all processes: settings, messages, RPC, the journal, HTTP, the replicated store, relays."""
