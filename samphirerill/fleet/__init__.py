"""Placement, routing and failure detection for a fleet of inference replicas.

Each replica holds a contiguous range of a model's layers. The modules here are
pure: no I/O, no clock, no threads; time and load are arguments.
"""
