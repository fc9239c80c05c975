"""Listeners that bound what the clients of a process hold."""
