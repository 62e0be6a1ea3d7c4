"""Tests of gradual moves between target versions."""
