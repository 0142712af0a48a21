"""Router node: forwards requests from callers to endpoints, on one event loop.

Placement and routing decisions are made by :mod:`samphirerill.fleet`.
"""
