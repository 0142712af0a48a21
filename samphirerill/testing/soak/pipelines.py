"""Pipelines of engines, as they are written in requests and orders."""

from __future__ import annotations

from typing import TypeAlias

from samphirerill.fleet.model import LayerRange

LAYERS = 80

# The stages in order, each as the address of its engine and its layers.
Pipeline: TypeAlias = list[tuple[str, LayerRange]]


def parse_pipeline(text: bytes) -> Pipeline:
    """Return the stages of ``ADDRESS=FIRST-END,...``."""
    pipeline = []
    for stage in text.decode().split(','):
        address, _, layers = stage.partition('=')
        first, _, end = layers.partition('-')
        pipeline.append((address, LayerRange(int(first), int(end))))
    return pipeline


def covers(held: LayerRange, layers: LayerRange) -> bool:
    """Return whether some layers are among those that are held."""
    return held.first <= layers.first and layers.end <= held.end


def is_whole(pipeline: Pipeline) -> bool:
    """Return whether a pipeline runs each layer once, in order."""
    position = 0
    for _, layers in pipeline:
        if layers.first != position or layers.end <= layers.first:
            return False
        position = layers.end
    return position == LAYERS
