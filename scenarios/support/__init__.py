"""Fakes and drivers of the scenarios."""
