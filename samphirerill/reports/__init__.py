"""Reports for operators, made of what nodes have logged."""
