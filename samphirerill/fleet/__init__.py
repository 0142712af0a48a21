"""Decisions over a fleet of engines that each hold some layers.

Pure: no I/O, no clock, no threads. Time and load are arguments.
"""
