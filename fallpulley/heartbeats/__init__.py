"""Handling of machines' heartbeats: who responds to them, when, and with which commands."""
