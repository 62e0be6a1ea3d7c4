"""Randomized fault soak of real node processes on loopback."""
