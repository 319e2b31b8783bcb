"""Machines and their workers: the messages they exchange, and what an owner knows of them."""
