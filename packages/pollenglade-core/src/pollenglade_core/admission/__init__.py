"""Which call runs, waits or is refused at one target."""
