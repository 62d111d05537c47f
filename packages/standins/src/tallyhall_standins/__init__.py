"""Small stand-ins for the platform and the upstreams, a process each.

They speak the published protocols over HTTP and can be told to fail. They
are for tests, the first run and the bench; nothing of them ships in the
daemon.
"""
