"""Tests of the core types."""
