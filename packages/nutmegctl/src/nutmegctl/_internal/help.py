"""Help texts, generated from the command registry."""

from collections.abc import Sequence

from nutmegctl._internal.registry import Command, all_commands
from nutmeglb_formats.command_line import iter_flags

INTRODUCTION = """\
Files change tickets and looks after jobs of a nutmeglb cluster scheduler.

usage: nutmegctl COMMAND [ARGUMENT ...] [--flag=VALUE ...]
"""
COMMON_FLAGS = """\
flags of every command:
  --server=IP:PORT,...  admin addresses of entry instances, tried in order
  --token-file=FILE     file whose first line is the token
  --config=FILE         INI file with [client] servers and token_file; also NUTMEGCTL_CONFIG
  --json                write JSON instead of tables

exit statuses: 0 done, 1 defect or unknown outcome, 2 wrong usage, 3 refused, 4 conflict,
5 no entry instance reached
"""


def help_text(words: Sequence[str]) -> str:
    """Return the help of a command, or a list of the commands that start with the words."""
    commands = all_commands()
    command = commands.get(tuple(words[:2])) or commands.get(tuple(words[:1]))
    if command is not None:
        return _command_help(command)
    matching = [item for item in commands.values() if item.words[: len(words)] == tuple(words)]
    width = max(len(" ".join(item.words)) for item in commands.values())
    lines = [
        f"  {' '.join(item.words).ljust(width)}  {item.summary}"
        for item in matching or commands.values()
    ]
    listing = "\n".join(["commands:", *lines])
    footer = "Run 'nutmegctl COMMAND --help' for arguments and examples."
    return f"{INTRODUCTION}\n{listing}\n\n{COMMON_FLAGS}\n{footer}\n"


def _command_help(command: Command) -> str:
    flags = list(iter_flags(command.function))[1:]
    usage = " ".join(
        ["usage: nutmegctl", *command.words, *(_usage_word(flag) for flag, _ in flags)]
    )
    defaults = [f"  {flag}  default {default}" for flag, default in flags if default]
    parts = [command.summary, usage]
    if any(not flag.startswith("--") for flag, _ in flags):
        parts[-1] += "\n(an argument may also be written as --name=VALUE)"
    if command.details:
        parts.append(command.details)
    if defaults:
        parts.append("\n".join(["defaults:", *defaults]))
    parts.append("\n".join(["examples:", *(f"  {example}" for example in command.examples)]))
    parts.append(COMMON_FLAGS)
    return "\n\n".join(parts)


def _usage_word(flag: str) -> str:
    return f"[{flag}]" if flag.startswith("--") else flag
