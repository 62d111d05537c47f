"""Tests with real processes on this machine."""
