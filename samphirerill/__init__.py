"""A router for language-model pipelines over mixed accelerators.

The command line runs nodes. The parts below can be embedded: the decision core,
and what agrees through a key-value service without a consensus group of its own.
"""

from __future__ import annotations

from samphirerill.control.configuration_log import ConfigurationLog
from samphirerill.control.configuration_view import ConfigurationView
from samphirerill.control.evidence import Evidence
from samphirerill.control.orders import Tenure
from samphirerill.core.model import Configuration, build_configuration
from samphirerill.core.router import Router

__all__ = (
    'Configuration',
    'ConfigurationLog',
    'ConfigurationView',
    'Evidence',
    'Router',
    'Tenure',
    'build_configuration',
)
