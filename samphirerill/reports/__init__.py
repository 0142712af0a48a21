"""Reports for operators, derived from nodes' logs."""
