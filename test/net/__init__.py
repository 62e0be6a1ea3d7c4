"""Tests of the net package."""
