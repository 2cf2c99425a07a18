"""Routes, services, organisations and limits of one configuration version."""
