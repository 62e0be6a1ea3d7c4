"""Relays, which distribute configuration and membership within an availability zone."""
