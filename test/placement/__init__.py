"""Tests of almondshore.placement."""
