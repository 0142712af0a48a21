"""A seeded model of engines, pipes and callers, for experiments in seconds.

Paths, plans and counts of load are decided by the same code as in a node; only
what a node talks to is modelled.
"""
