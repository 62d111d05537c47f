"""The operators' table: its rows, its checks and its edits."""
