"""Client library: entry discovery, cached locate responses and safe retries."""
