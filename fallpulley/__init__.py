"""fallpulley: a cluster scheduler run by every controller of a deployment."""

__version__ = "0.1.0"
