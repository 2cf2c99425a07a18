"""Rate limits of organisations over the sum of all mesh nodes.

Each holder accrues tokens from its share of a limit and lends some of them to other nodes. The
node's own interface enforces its limits by the leases and grants of the `quota` package instead.
"""
