"""Tests of the target directory and of failure detection."""
