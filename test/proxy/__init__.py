"""Tests of the proxy hops."""
