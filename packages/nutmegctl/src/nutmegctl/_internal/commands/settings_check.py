"""Command ``settings check``."""

from nutmegctl._internal.connection import connection
from nutmegctl._internal.registry import command
from nutmegctl._internal.session import Session, unwrap
from nutmeglb_formats.exit_status import ExitStatus


@command(
    "settings",
    "check",
    examples=("nutmegctl settings check nutmegctl.ini",),
)
async def settings_check(session: Session, file: str) -> ExitStatus:
    """Check a settings file of nutmegctl.

    The settings of an entry instance are checked by 'nutmeglb --check FILE'.
    """
    client_connection = unwrap(connection("", "", file))
    servers = list(client_connection.servers)
    session.output.text(
        {"valid": True, "servers": servers}, f"{file}: valid; {len(servers)} servers"
    )
    return ExitStatus.OK
