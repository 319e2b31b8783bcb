"""The controller, its components, and how commands and changed records reach them."""

from fallpulley.controller.controller import Controller

__all__ = ["Controller"]
