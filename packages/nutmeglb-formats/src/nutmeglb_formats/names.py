"""Names of objects, instances and failure domains.

They are parts of store keys, job ids and paths, so they contain no separators of these.
"""

NAME_LIMIT_CHARACTERS = 100
NAME_HINT = f"Use 1 to {NAME_LIMIT_CHARACTERS} letters, digits, '.', '_' or '-'"


def is_name(value: str) -> bool:
    """Return whether a text can name an object."""
    without_separators = value.replace(".", "").replace("_", "").replace("-", "")
    is_alphanumeric = without_separators.isascii() and without_separators.isalnum()
    return is_alphanumeric and len(value) <= NAME_LIMIT_CHARACTERS
