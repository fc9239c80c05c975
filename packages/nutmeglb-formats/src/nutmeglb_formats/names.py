"""Validation of the names of objects, instances and failure domains.

Names are parts of store keys, job ids and URL paths, so they must not contain the separators that
are used there.
"""

NAME_LIMIT_CHARACTERS = 100
NAME_HINT = f"Use 1 to {NAME_LIMIT_CHARACTERS} letters, digits, '.', '_' or '-'"


def is_name(value: str) -> bool:
    """Return whether ``value`` is a valid name."""
    without_separators = value.replace(".", "").replace("_", "").replace("-", "")
    is_alphanumeric = without_separators.isascii() and without_separators.isalnum()
    return is_alphanumeric and len(value) <= NAME_LIMIT_CHARACTERS
