"""Tests of tallyhall."""
