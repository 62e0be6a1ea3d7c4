"""Evacuated zones, and targets that are cold."""
