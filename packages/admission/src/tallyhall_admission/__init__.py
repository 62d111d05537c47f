"""Admission to the upstreams of one service.

The instance that owns a service keeps one `Pool`: a queue by tier and
workspace, a concurrency limit for each upstream, the limits of the table and
the record of issued permits. No class does I/O or reads a clock: methods take
an event and `now` and return the messages to send.
"""
