"""Machines' heartbeats: which controller answers them, when, and with which commands."""
