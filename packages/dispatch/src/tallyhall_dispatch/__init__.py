"""Decisions about requests on an entry instance; no I/O, no clock."""
