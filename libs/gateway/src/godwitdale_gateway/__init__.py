"""Entries that call endpoints directly over HTTP, without agents."""
