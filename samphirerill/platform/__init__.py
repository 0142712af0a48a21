"""Adapter to the platform that the router is deployed on.

It decodes the platform's documents and headers into the project's types.
Nothing outside this package uses the platform's field or header names.
"""
