"""Health checks of replicas, and the exchange of their results."""

from samphirerill.relay.health.alarms import Alarms
from samphirerill.relay.health.loss_prober import LossProber
from samphirerill.relay.health.prober import Diagnosis, ReplicaProber
from samphirerill.relay.health.probing import fetch_report

__all__ = ('Alarms', 'Diagnosis', 'ReplicaProber', 'LossProber', 'fetch_report')
