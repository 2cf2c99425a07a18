"""Overload control decisions: time and events go in, typed actions come out.

Modules in this package open no socket, read no clock and use no global random source.
"""
