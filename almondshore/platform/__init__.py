"""Adapter to the users' platform: its wire names, store, settings and target announcements."""
