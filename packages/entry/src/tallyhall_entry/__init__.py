"""The entry instance process: wiring, logging, metrics and signal handling."""
