"""Decisions about connections and requests of clients: whom to admit, refuse and close."""
