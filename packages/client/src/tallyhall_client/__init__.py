"""Caller library: locate, keep the answer, reconnect with the same id."""
