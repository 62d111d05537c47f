"""Types shared by all packages: ids, messages, refusals and log events.

Nothing in this package does I/O, starts threads or reads a clock.
"""
