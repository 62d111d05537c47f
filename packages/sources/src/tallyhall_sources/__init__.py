"""Clients of the platform: key-value service, instance list, weight store.

Each stands behind a `Protocol`, since the users' own may differ from the
published interfaces spoken here.
"""
