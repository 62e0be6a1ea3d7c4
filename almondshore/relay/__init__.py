"""Relays that pass configuration and membership on within an availability zone."""
