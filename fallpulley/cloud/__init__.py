"""The cloud's protocol."""
