"""Overload control logic that performs no I/O.

Functions receive the time and events as arguments and return typed actions. Modules in this package
open no sockets, read no clocks and use no global random source.
"""
