"""Decision logic of one instance, without I/O, threads or clocks.

`Node` receives inputs with the current time and returns actions. The daemon
executes the actions; tests execute them against fakes, in any order.
"""
