"""Request decisions of an entry instance, without I/O or clock access."""
