"""Configuration versions: acceptance, distribution and publishing."""
