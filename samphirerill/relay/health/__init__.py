"""Health checks of replicas, and the exchange of their results."""

from samphirerill.relay.health.alarms import Alarms
from samphirerill.relay.health.examiner import Diagnosis, Examiner
from samphirerill.relay.health.probing import ask_report
from samphirerill.relay.health.survey import Survey

__all__ = ('Alarms', 'Diagnosis', 'Examiner', 'Survey', 'ask_report')
