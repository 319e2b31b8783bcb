"""Handling of machines' heartbeats: who answers them, when, and with which commands."""
