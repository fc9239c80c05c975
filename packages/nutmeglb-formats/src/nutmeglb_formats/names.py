"""Names of objects, instances and failure domains.

They are parts of store keys, job ids and paths, so they contain no separators of these.
"""

NAME_LIMIT_CHARACTERS = 100
NAME_HINT = f"Use 1 to {NAME_LIMIT_CHARACTERS} letters, digits, '.', '_' or '-'"


def is_name(value: str) -> bool:
    """Return whether a text can name an object."""
    allowed = value.replace(".", "").replace("_", "").replace("-", "")
    plain = allowed.isascii() and allowed.isalnum()
    return plain and len(value) <= NAME_LIMIT_CHARACTERS
