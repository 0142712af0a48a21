"""A router for language-model pipelines over mixed accelerators.

The command line runs nodes. The names below can be used by other programs: the
decision core, and the configuration and leader election over a key-value store.
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
_MODULES = {
    'Configuration': 'core.configuration',
    'ConfigurationLog': 'control.configuration_log',
    'ConfigurationView': 'control.configuration_view',
    'ConfigurationFreshness': 'control.freshness',
    'Router': 'core.router',
    'LeaderTerm': 'control.orders',
    'build_configuration': 'core.configuration',
}


def __getattr__(name: str) -> Any:
    """Import a public name on first access.

    Importing all of them with the package would delay the start of platform
    nodes, which use none of them.
    """
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f'got {name!r}, expected one of {__all__}')
    return getattr(import_module(f'{__name__}.{module}'), name)
