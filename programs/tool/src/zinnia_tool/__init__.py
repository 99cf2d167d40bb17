"""Command-line tool ``zinnia`` for operators."""
