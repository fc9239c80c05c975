"""To be written."""
