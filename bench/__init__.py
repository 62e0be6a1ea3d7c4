"""Benchmarks of almondshore."""
