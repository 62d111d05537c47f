"""One service's engines on a virtual clock, driven by the decision code."""
