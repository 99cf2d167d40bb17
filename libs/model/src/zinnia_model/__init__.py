"""Identifiers, enums, the configuration document and message types of the query tier."""
