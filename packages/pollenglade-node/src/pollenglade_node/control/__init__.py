"""The API on the control port: target announcements, status, metrics and configuration."""
