"""Admission to the upstreams of one service.

The owner of a service keeps one `Pool`: a queue by tier and workspace, a
concurrency limit for each upstream, the limits of the table and the memory of
what it has permitted. All classes are plain: they take events and `now` and
return the messages to send.
"""
