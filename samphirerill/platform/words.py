"""Header names and endpoint calls of the platform, each said once."""

from __future__ import annotations

REQUEST_ID = b'x-samphirerill-request-id'
DEADLINE_MS = b'x-samphirerill-deadline-ms'
# The signature that an endpoint puts on its own answers.
SEAL = b'x-samphirerill-response-seal'
ACCOUNT = b'x-samphirerill-tenant'
# The replica that a request is meant for; any other one answers 421.
EXPECTED_REPLICA = b'x-samphirerill-target-instance'
REPLICA_ID = b'x-samphirerill-instance-id'
NOT_RUN = b'x-samphirerill-not-executed'
# "PROMPT,MOST": tokens of the prompt, and most tokens of the answer.
TOKENS = b'x-samphirerill-token-count'
LENGTH_HINT = b'x-samphirerill-length-hint'
PRIORITY = b'x-samphirerill-request-priority'
# Despite its name it lists the whole path: ADDRESS=FIRST-END,...
PATH = b'x-samphirerill-hop-count'
# The replica on a path that an answer of 421 or 503 is about.
AT_FAULT = b'at-server'
RESUME_AFTER = b'last-event-id'
READY_PATH = '/ready'
REPORT_PATH = '/report'
ORDER_PATH = '/order'
