"""Admission, tenant limits and adaptive concurrency."""
