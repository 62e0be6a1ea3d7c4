"""Tests of almondshore.limits."""
