"""Tests of the documentation pages."""
