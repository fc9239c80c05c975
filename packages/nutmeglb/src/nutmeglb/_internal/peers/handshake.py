"""Headers of the WebSocket handshake between entry instances."""

import hmac
from dataclasses import dataclass
from http import HTTPStatus

from websockets.asyncio.server import ServerConnection
from websockets.http11 import Request, Response

PEER_PATH = "/peer"
SECRET_HEADER = "X-Nutmeg-Secret"
INSTANCE_HEADER = "X-Nutmeg-Instance"
DOMAIN_HEADER = "X-Nutmeg-Domain"
MAX_IDENTITY_CHARACTERS = 64


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Identity that a connecting instance announces."""

    instance_id: str
    domain: str


def handshake_headers(secret: str, instance_id: str, domain: str) -> dict[str, str]:
    """Return the request headers of an outgoing connection."""
    return {SECRET_HEADER: secret, INSTANCE_HEADER: instance_id, DOMAIN_HEADER: domain}


def check_request(
    connection: ServerConnection, request: Request, secret: str, own_id: str
) -> Response | None:
    """Return the response that refuses a connection, or ``None`` to accept it.

    The secret is compared in constant time.
    """
    secret_headers = request.headers.get_all(SECRET_HEADER)
    presented = secret_headers[0] if len(secret_headers) == 1 else ""
    if not hmac.compare_digest(presented.encode(), secret.encode()):
        return connection.respond(HTTPStatus.UNAUTHORIZED, "The peer secret is wrong.\n")
    if request.path != PEER_PATH:
        return connection.respond(HTTPStatus.NOT_FOUND, "Connect to /peer.\n")
    name = peer_identity(request)
    if name is None or name.instance_id == own_id:
        return connection.respond(HTTPStatus.BAD_REQUEST, "The instance id is not usable.\n")
    return None


def peer_identity(request: Request) -> PeerIdentity | None:
    """Return the announced identity, or ``None`` when it is missing or too long."""
    instances = request.headers.get_all(INSTANCE_HEADER)
    domains = request.headers.get_all(DOMAIN_HEADER)
    if len(instances) != 1 or len(domains) != 1:
        return None
    if not all(0 < len(value) <= MAX_IDENTITY_CHARACTERS for value in (instances[0], domains[0])):
        return None
    return PeerIdentity(instances[0], domains[0])
