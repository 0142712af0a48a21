"""Adapter to the users' platform: its words, decoded once into our types.

Nothing outside this package knows the platform's field or header names.
"""
