"""The process of an entry instance: wiring, logs, metrics, signals."""
