"""ferrydock: a serving system for language models that span several boxes."""

__version__ = "0.1.0"

__all__ = ["__version__"]
