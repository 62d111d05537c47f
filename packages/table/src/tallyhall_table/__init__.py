"""Operator-managed table of tiers, services and workspace limits."""
