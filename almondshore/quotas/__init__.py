"""Quotas of tenants, enforced over all nodes."""
