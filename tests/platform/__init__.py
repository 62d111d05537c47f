"""Tests of the path on the users' platform; no bench needed."""
