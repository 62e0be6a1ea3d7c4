"""Tenants: their keys, and which requests they may send."""
