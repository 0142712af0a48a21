"""Header names and URL paths of the platform."""

from __future__ import annotations

REQUEST_ID = b'x-samphirerill-request-id'
DEADLINE_MS = b'x-samphirerill-deadline-ms'
# The signature by which an endpoint marks a response as its own.
RESPONSE_SIGNATURE = b'x-samphirerill-response-seal'
ACCOUNT = b'x-samphirerill-tenant'
# The replica that a request is addressed to; any other one answers 421.
TARGET_REPLICA = b'x-samphirerill-target-instance'
REPLICA_ID = b'x-samphirerill-instance-id'
NOT_RUN = b'x-samphirerill-not-executed'
# "PROMPT,MAX": tokens of the prompt, and the most tokens of the answer.
TOKEN_COUNTS = b'x-samphirerill-token-count'
# "ID:TOKENS,…": the parts of the prompt, in order.
PROMPT_PARTS = b'x-samphirerill-prompt-prefix'
LENGTH_HINT = b'x-samphirerill-length-hint'
PRIORITY = b'x-samphirerill-request-priority'
# Despite its name, the value lists all stages of the path, with the layers of
# each: ADDRESS=FIRST-END,...
PATH = b'x-samphirerill-hop-count'
# The address of the replica on the path that caused a 421 or 503 response.
FAILED_REPLICA = b'at-server'
# "1" in every response of a replica that is leaving.
LEAVING = b'server-leaving'
# Requests a second that a replica takes from all nodes together.
REQUEST_LIMIT = b'server-limit'
# "RUNNING,WAITING,SLOTS": requests that a replica runs and queues, and how many
# it runs at once.
SERVER_LOAD = b'x-samphirerill-server-load'
RESUME_AFTER = b'last-event-id'
# In each response of the store; rises when it is restored from a copy.
STORE_ERA = b'store-era'
READY_PATH = '/ready'
STATUS_PATH = '/report'
ORDER_PATH = '/order'
