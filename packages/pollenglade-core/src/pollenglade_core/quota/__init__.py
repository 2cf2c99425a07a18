"""Fleet-wide rate limits of organisations, granted by the nodes that lease quota slots."""
