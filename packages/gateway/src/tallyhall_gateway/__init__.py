"""HTTP towards callers (waitress) and upstreams (urllib3)."""
