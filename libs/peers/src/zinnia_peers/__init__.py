"""Thrift messages between daemons."""
