"""Tests of almondshore; the modules mirror those of the package."""
