"""Tests of moves between target versions."""
