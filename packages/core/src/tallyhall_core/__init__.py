"""Plain types every other package shares: ids, messages, refusals, events.

This package holds no behaviour that needs I/O, threads or a clock.
"""
