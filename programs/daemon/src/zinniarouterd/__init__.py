"""The zinniarouter daemon."""
