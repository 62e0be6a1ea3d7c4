"""Tests of configuration versions."""
