"""The pollenglade daemon, which runs as one process on each target host."""
