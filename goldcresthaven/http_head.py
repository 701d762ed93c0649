"""Heads of HTTP messages, and the detection of ambiguous framing."""

from dataclasses import dataclass
import re

_LENGTH_LINE = re.compile(rb'\r\ncontent-length[ \t]*:([^\r]*)', re.I)
_CODING_LINE = re.compile(rb'\r\ntransfer-encoding[ \t]*:', re.I)
_HOST_LINE = re.compile(rb'\r\nhost[ \t]*:', re.I)

Headers = tuple[tuple[str, str], ...]

# Hop-by-hop headers, which a proxy must not forward (RFC 9110, 7.6.1).
HOP_HEADERS = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-connection',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
    }
)


def find(headers: Headers, name: str) -> str | None:
    """Return the value of the first header with a name (in lower case)."""
    return next((v for n, v in headers if n == name), None)


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that a proxy forwards."""
    named = {
        part.strip().lower()
        for name, value in headers
        if name == 'connection'
        for part in value.split(',')
    }
    dropped = HOP_HEADERS | (named - {'content-length', 'host'})
    return tuple((n, v) for n, v in headers if n not in dropped)


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestHead:
    """The request line and headers; header names are in lower case."""

    method: str
    target: str
    headers: Headers
    http_version: str = '1.1'

    @property
    def has_body(self) -> bool:
        if find(self.headers, 'transfer-encoding') is not None:
            return True
        return find(self.headers, 'content-length') not in (None, '0')


@dataclass(frozen=True, kw_only=True, slots=True)
class ResponseHead:
    """The status and headers; header names are in lower case."""

    status: int
    headers: Headers


def check_head(head: bytes) -> str | None:
    """Return why the framing of a message is ambiguous, or None."""
    if head.count(b'\n') != head.count(b'\r\n'):
        return 'a line ends without a carriage return'
    if b'\r\n ' in head or b'\r\n\t' in head:
        return 'a header is folded over several lines'
    lengths = _LENGTH_LINE.findall(head)
    if len(lengths) > 1 or any(b',' in length for length in lengths):
        return 'Content-Length is repeated'
    codings = len(_CODING_LINE.findall(head))
    if codings > 1:
        return 'Transfer-Encoding is repeated'
    if codings and lengths:
        return 'both Content-Length and Transfer-Encoding are present'
    if len(_HOST_LINE.findall(head)) > 1:
        return 'Host is repeated'
    return None
