"""The pollenglade daemon: one process on each target host."""
