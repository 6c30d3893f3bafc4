"""What all processes of the system share: settings, messages and calls, the journal, HTTP, the store, relays."""
