"""Gradual moves of a service's traffic from one target version to another."""
