"""HTTP/1.1 server and client of an entry instance, in one event loop."""
