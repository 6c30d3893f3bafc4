"""The proxies: clients' requests to servers, and the items of batch jobs."""
