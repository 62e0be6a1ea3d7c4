"""Tests of the relays."""
