"""Stand-ins for the platform and for targets, used in demos and tests."""
