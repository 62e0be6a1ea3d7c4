"""Outcomes, retries, at-most-once execution and crash quarantine."""
