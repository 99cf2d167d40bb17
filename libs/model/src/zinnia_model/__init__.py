"""Ids, enums, configuration document and shared message types."""
