"""Tests of almondshore.retries."""
