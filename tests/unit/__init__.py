"""Tests of plain classes, without processes."""
