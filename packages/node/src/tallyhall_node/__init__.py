"""The decisions of one instance, free of I/O, threads and clocks.

`Node` takes inputs and `now` and returns actions. The daemon carries the
actions out; tests carry them out against fakes, in any order.
"""
