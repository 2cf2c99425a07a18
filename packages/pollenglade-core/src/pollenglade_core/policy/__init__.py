"""Traffic policy: routes, services, organisations and client limits of one version."""
