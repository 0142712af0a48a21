"""The one-loop edge: bytes between callers and endpoints, nothing decided."""
