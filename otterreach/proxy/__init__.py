"""The proxies: they forward requests of clients to model servers and run the items of batch jobs."""
