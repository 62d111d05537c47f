"""Failure detection, shared value revisions and service ownership."""
