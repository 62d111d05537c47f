"""HTTP/1.1 servers and clients of an entry instance, in one asyncio loop."""
