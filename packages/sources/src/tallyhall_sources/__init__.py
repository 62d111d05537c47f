"""Clients of the platform: key-value service, instance list, weight store.

Each implements a `Protocol`, so that it can be replaced by a client of a
platform that does not use these published interfaces.
"""
