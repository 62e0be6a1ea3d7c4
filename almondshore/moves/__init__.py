"""Moves of traffic between target versions."""
