"""Decoders of what others wrote, and the bounds of the numbers in it."""
