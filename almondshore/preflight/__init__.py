"""Checks of a configuration before it is put into force."""
