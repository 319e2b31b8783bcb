"""The owner of all state of one controller, and what it is made of."""

from fallpulley.controller.controller import Controller

__all__ = ["Controller"]
