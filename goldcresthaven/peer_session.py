"""One authenticated connection between two peers, without I/O.

The websockets protocol objects turn bytes into frames; this module adds
mutual authentication and message limits. Each side's first frame is a
Hello. The server's credential contains the client's nonce, so that a
recorded server Hello cannot be replayed either.

No extension is offered, because a compressed message could exceed the size
limit after decompression.
"""

from collections.abc import Callable
from dataclasses import dataclass

from websockets import client as ws_client
from websockets import frames as ws_frames
from websockets import http11
from websockets import server as ws_server
from websockets import uri as ws_uri

from goldcresthaven import auth
from goldcresthaven import clock
from goldcresthaven import codec
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import messages

PATH = '/peer/v1'
_SWITCHING_PROTOCOLS = 101


@dataclass(frozen=True, kw_only=True, slots=True)
class Identity:
    """How this process identifies itself in its Hello."""

    vm: ids.VmId
    zone: ids.ZoneId
    boot: ids.BootId


@dataclass(frozen=True, kw_only=True, slots=True)
class Security:
    """What a session needs to sign and verify credentials.

    ``nonce`` returns auth.NONCE_BYTES random bytes.
    """

    verifier: auth.Verifier
    time: clock.Clock
    nonce: Callable[[], bytes]


class Session:
    """Base class of both sides.

    ``peer`` is the other side's Hello, or None until it has been verified.
    Other frames are accepted only after that.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        security: Security,
        protocol: ws_client.ClientProtocol | ws_server.ServerProtocol,
    ) -> None:
        self._identity = identity
        self._security = security
        self._protocol = protocol
        self.peer: messages.Hello | None = None

    def send(self, data: bytes) -> None:
        """Queue one encoded frame for ``output``.

        Raises ConnectionLost when either side has started to close.
        """
        if self._protocol.state.name != 'OPEN':
            raise errors.ConnectionLost(
                'the connection is being closed',
                remedy='see the log of the peer if this repeats',
            )
        self._protocol.send_binary(data)

    def close(self, code: int = ws_frames.CloseCode.GOING_AWAY) -> None:
        """Queue a close frame unless the session has ended already."""
        # The reason is left empty, because the peer may not be
        # authenticated and should not learn details.
        if self._protocol.state.name == 'OPEN':
            self._protocol.send_close(code)

    def output(self) -> bytes:
        """Return the bytes that are ready to be written to the socket."""
        return b''.join(self._protocol.data_to_send())

    def receive(self, data: bytes) -> list[messages.Frame]:
        """Process received bytes and return the completed frames.

        ``data`` is empty at the end of the stream. Raises ProtocolError or
        AuthError for bytes that a valid peer does not send, and
        ConnectionLost when the peer closed the connection. In all cases
        ``output`` may return bytes that should still be sent.
        """
        if data:
            self._protocol.receive_data(data)
        else:
            self._protocol.receive_eof()
        frames = []
        for event in self._protocol.events_received():
            if isinstance(event, ws_frames.Frame):
                frames += self._receive_frame(event)
            else:
                self._receive_handshake(event)
        self._raise_if_ended()
        return frames

    def _receive_frame(self, frame: ws_frames.Frame) -> list[messages.Frame]:
        if frame.opcode in (ws_frames.Opcode.PING, ws_frames.Opcode.PONG):
            return []
        if frame.opcode is ws_frames.Opcode.CLOSE:
            code = self._protocol.close_code
            raise errors.ConnectionLost(
                f'peer closed the connection with code {code}',
                remedy='see the log of the peer if this repeats',
            )
        if frame.opcode is not ws_frames.Opcode.BINARY or not frame.fin:
            self.close(ws_frames.CloseCode.UNSUPPORTED_DATA)
            raise _protocol_error('a frame is not a complete binary message')
        try:
            return self._receive_message(bytes(frame.data))
        except errors.AuthError:
            self.close(ws_frames.CloseCode.POLICY_VIOLATION)
            raise
        except errors.ProtocolError:
            self.close(ws_frames.CloseCode.INVALID_DATA)
            raise

    def _receive_message(self, data: bytes) -> list[messages.Frame]:
        if self.peer is not None:
            return [messages.decode(data)]
        frame = messages.decode(data, max_size=messages.MAX_HELLO_BYTES)
        if not isinstance(frame.message, messages.Hello):
            raise _protocol_error('the first frame is not a Hello')
        self._receive_hello(frame.message)
        return []

    def _raise_if_ended(self) -> None:
        exc = self._protocol.handshake_exc or self._protocol.parser_exc
        if isinstance(exc, EOFError):
            raise errors.ConnectionLost(
                'peer closed the connection without a close frame',
                remedy='check that the peer is up and reachable',
            )
        if exc is not None:
            raise _protocol_error(str(exc)) from exc
        if self._protocol.state.name == 'CLOSED':
            raise errors.ConnectionLost(
                'the connection is closed', remedy='connect again'
            )

    def _receive_handshake(
        self, event: http11.Request | http11.Response
    ) -> None:
        raise NotImplementedError

    def _receive_hello(self, hello: messages.Hello) -> None:
        raise NotImplementedError

    def _verify(self, hello: messages.Hello, challenge: bytes) -> None:
        actor = self._security.verifier.verify(
            hello.credential,
            purpose=auth.Purpose.PEER,
            challenge=challenge,
            body=_signed_body(hello.vm, hello.zone, hello.boot),
        )
        if actor != hello.vm:
            raise errors.AuthError(
                f'the credential of {actor!r} came with a Hello of '
                f'{hello.vm!r}',
                remedy='check the vm setting of that process',
            )

    def _make_hello(self, target: str, challenge: bytes) -> messages.Hello:
        me = self._identity
        return messages.Hello(
            vm=me.vm,
            zone=me.zone,
            boot=me.boot,
            credential=auth.create(
                self._security.verifier.ring,
                purpose=auth.Purpose.PEER,
                actor=me.vm,
                target=target,
                now=self._security.time.now(),
                nonce=self._security.nonce(),
                challenge=challenge,
                body=_signed_body(me.vm, me.zone, me.boot),
            ),
        )

    def _send_hello(self, hello: messages.Hello) -> None:
        self.send(messages.encode(messages.Frame(message=hello)))


class ClientSession(Session):
    """The side that opened the connection to the VM ``target``."""

    def __init__(
        self,
        *,
        identity: Identity,
        security: Security,
        target: ids.VmId,
        authority: str,
    ) -> None:
        protocol = ws_client.ClientProtocol(
            ws_uri.parse_uri(f'ws://{authority}{PATH}'),
            max_size=messages.MAX_MESSAGE_BYTES,
        )
        super().__init__(
            identity=identity, security=security, protocol=protocol
        )
        self._target = target
        self._hello = self._make_hello(target, b'')
        protocol.send_request(protocol.connect())

    def _receive_handshake(
        self, event: http11.Request | http11.Response
    ) -> None:
        if self._protocol.handshake_exc is None:
            self._send_hello(self._hello)

    def _receive_hello(self, hello: messages.Hello) -> None:
        self._verify(hello, self._hello.credential.nonce)
        if hello.vm != self._target:
            raise errors.AuthError(
                f'{hello.vm!r} responded at the address of {self._target!r}',
                remedy='wait until the membership list is up to date',
            )
        self.peer = hello


class ServerSession(Session):
    """The side that accepted the connection."""

    def __init__(self, *, identity: Identity, security: Security) -> None:
        # Until it is authenticated, a peer may send no more than a Hello.
        self._server = ws_server.ServerProtocol(
            max_size=messages.MAX_HELLO_BYTES
        )
        super().__init__(
            identity=identity, security=security, protocol=self._server
        )

    def _receive_handshake(
        self, event: http11.Request | http11.Response
    ) -> None:
        assert isinstance(event, http11.Request)
        if event.path == PATH:
            response = self._server.accept(event)
        else:
            response = self._server.reject(404, 'unknown path\n')
        self._server.send_response(response)
        if response.status_code != _SWITCHING_PROTOCOLS:
            raise _protocol_error(
                f'handshake refused with {response.status_code}'
            )

    def _receive_hello(self, hello: messages.Hello) -> None:
        self._verify(hello, b'')
        self._send_hello(self._make_hello(hello.vm, hello.credential.nonce))
        self._server.max_message_size = messages.MAX_MESSAGE_BYTES
        self.peer = hello


def _signed_body(vm: str, zone: str, boot: str) -> bytes:
    return codec.dumps([vm, zone, boot])


def _protocol_error(problem: str) -> errors.ProtocolError:
    return errors.ProtocolError(
        problem, remedy='check that both processes run adjacent releases'
    )
