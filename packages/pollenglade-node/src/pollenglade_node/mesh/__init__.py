"""The daemon beside endpoints: routes by host and path, all rules in one published policy."""
