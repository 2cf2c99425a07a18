"""Measurements for tests of connections and servers."""
