"""HTTP server for callers (waitress) and HTTP client of upstreams (urllib3)."""
