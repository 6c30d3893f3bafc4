"""Stand-ins of the review: the platform, clients, trainers and servers, as small asyncio programs."""
