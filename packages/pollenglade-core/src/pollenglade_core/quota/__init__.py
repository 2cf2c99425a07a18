"""Fleet-wide rate limits of organisations at the node's own interface.

Nodes lease quota slots and grant tokens from them to the other nodes. Mesh nodes enforce their
limits by the shares and loans of the `allowance` package instead.
"""
