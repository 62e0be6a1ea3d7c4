"""Tests of almondshore.routing."""
