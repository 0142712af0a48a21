"""Draw a bench's figures beside the rival's; needs ``requirements-plot.txt``."""

from __future__ import annotations

from typing import Any

_WIDTH = 0.4
_COLUMNS = 3.0
_HEIGHT = 3.5


def draw_figures(document: dict[str, Any], path: str) -> None:
    """Write a picture with one panel for each figure.

    Parameters
    ----------
    document : dict
        What ``run_bench`` returned.
    path : str
        The picture's file; its ending chooses the format.
    """
    # Kept out of the node's dependencies, so loaded only on request.
    from matplotlib.figure import Figure

    names = list(document['figures'])
    figure = Figure(figsize=(_COLUMNS * len(names), _HEIGHT))
    panels = figure.subplots(1, len(names), squeeze=False)[0]
    for panel, name in zip(panels, names, strict=True):
        bars = [document['figures'][name], document['baseline'].get(name) or 0]
        panel.bar(['samphirerill', 'rival'], bars, _WIDTH)
        panel.set_title(name)
    figure.suptitle(f'{document["name"]}, seed {document["seed"]}')
    figure.tight_layout()
    figure.savefig(path)
