"""Who is alive, which shared values are newest, and who owns what."""
