"""A seeded discrete-event simulation of engines, network links and clients.

Path selection, layer placement and load tracking run the code of a router node;
only the engines, the links and the clients are simulated.
"""
