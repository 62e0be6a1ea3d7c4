"""Admission of large request bodies to the link of a host."""
