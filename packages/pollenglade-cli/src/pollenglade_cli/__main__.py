"""Entry point for `python -m pollenglade_cli`."""

from __future__ import annotations

from .main import main

main()
