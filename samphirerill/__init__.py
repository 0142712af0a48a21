"""A router for language-model pipelines over mixed accelerators.

The command line runs nodes. The parts below can be embedded: the decision core,
and what agrees through a key-value service without a consensus group of its own.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from samphirerill.control.configuration_log import ConfigurationLog
    from samphirerill.control.configuration_view import ConfigurationView
    from samphirerill.control.freshness import ConfigurationFreshness
    from samphirerill.control.orders import LeaderTerm
    from samphirerill.core.configuration import (
        Configuration,
        build_configuration,
    )
    from samphirerill.core.router import Router

__all__ = (
    'Configuration',
    'ConfigurationLog',
    'ConfigurationView',
    'ConfigurationFreshness',
    'Router',
    'LeaderTerm',
    'build_configuration',
)
_HOMES = {
    'Configuration': 'core.configuration',
    'ConfigurationLog': 'control.configuration_log',
    'ConfigurationView': 'control.configuration_view',
    'ConfigurationFreshness': 'control.freshness',
    'Router': 'core.router',
    'LeaderTerm': 'control.orders',
    'build_configuration': 'core.configuration',
}


def __getattr__(name: str) -> Any:
    """Load a public part when it is first asked for.

    Loaded with the package, they took 0.1 s of the start of every node, also
    of one on the platform, which uses none of them.
    """
    home = _HOMES.get(name)
    if home is None:
        raise AttributeError(f'got {name!r}, expected one of {__all__}')
    return getattr(import_module(f'{__name__}.{home}'), name)
