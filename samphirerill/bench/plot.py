"""Plot the metrics of a benchmark; needs ``requirements-plot.txt``."""

from __future__ import annotations

from typing import Any

_BAR_WIDTH = 0.4
_PANEL_WIDTH = 3.0
_PANEL_HEIGHT = 3.5


def plot_metrics(document: dict[str, Any], path: str) -> None:
    """Write an image with one panel for each metric.

    Parameters
    ----------
    document : dict
        Document returned by ``run_benchmark``.
    path : str
        Path of the image; its extension selects the format.
    """
    # Imported here, as nodes run without matplotlib.
    from matplotlib.figure import Figure

    names = list(document['figures'])
    figure = Figure(figsize=(_PANEL_WIDTH * len(names), _PANEL_HEIGHT))
    panels = figure.subplots(1, len(names), squeeze=False)[0]
    for panel, name in zip(panels, names, strict=True):
        bars = [document['figures'][name], document['baseline'].get(name) or 0]
        panel.bar(['samphirerill', 'rival'], bars, _BAR_WIDTH)
        panel.set_title(name)
    figure.suptitle(f'{document["name"]}, seed {document["seed"]}')
    figure.tight_layout()
    figure.savefig(path)
