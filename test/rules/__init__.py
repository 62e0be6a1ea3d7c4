"""Tests of the rules language."""
