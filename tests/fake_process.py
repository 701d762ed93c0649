"""A fake process for tests of the operator API and command line."""

from collections.abc import Sequence
from datetime import datetime
from datetime import timedelta
from datetime import timezone
import http.server
import threading
from typing import Any
import urllib.parse

from goldcresthaven import config_changes
from goldcresthaven import config_log
from goldcresthaven import errors
from goldcresthaven import ids
from goldcresthaven import operator_api
from goldcresthaven import operator_views as views
from goldcresthaven import presets
from goldcresthaven import shards
from tests import memory_store

POOL = ids.PoolName('catalogue')
OWNER = ids.UpstreamId('catalogue-1')
DOMAIN = ids.DomainId('zone-a/0')
START = datetime(2026, 1, 1, tzinfo=timezone.utc)
AUTHORIZATION = 'test mira'


class FakeAuth:
    """Signs and verifies requests with a fixed text."""

    def sign(
        self, *, vm: ids.VmId, method: str, target: str, body: bytes
    ) -> str:
        return AUTHORIZATION

    def verify(
        self, *, method: str, target: str, body: bytes, authorization: str
    ) -> str:
        if authorization != AUTHORIZATION:
            raise errors.AuthError('not signed', remedy='use --keys-file')
        return 'mira'


class FakeProcess:
    """One entry process with a reachable and an unreachable peer."""

    def __init__(self, document: presets.Document | None) -> None:
        self.store = memory_store.MemoryStore()
        self.entry: config_log.Entry | None = None
        self.ready = True
        self.owner_state = 'up'
        self.holder: ids.VmId | None = ids.VmId('entry-a1')
        self.queries: list[views.TimelineQuery] = []
        self._txns = 0
        if document is not None:
            self.entry = config_log.propose(
                None,
                config_changes.ReplaceDocument(document=document),
                author='tarmo',
                txn=ids.TxnId('t0'),
            ).entry

    def local(self) -> views.Local:
        owner = views.Upstream(
            upstream=OWNER,
            pool=POOL,
            zone=ids.ZoneId('zone-a'),
            state=self.owner_state,
            domain=DOMAIN,
            slots=4,
            slots_in_use=1,
        )
        claim = views.Claim(
            domain=DOMAIN,
            epoch=ids.Epoch(3),
            holder=self.holder,
            state='held',
            expires_in_ms=8000,
        )
        entry = self.entry
        return views.Local(
            vm=ids.VmId('entry-a1'),
            zone=ids.ZoneId('zone-a'),
            boot=ids.BootId('b1'),
            readiness=views.Readiness(ready=self.ready),
            config_version=entry.version if entry else None,
            map_version=ids.MapVersion(1),
            preset=entry.document.in_force if entry else None,
            store='up',
            memory_bytes=30 << 20,
            claims=(claim,),
            upstreams=(owner,),
            queues=(
                views.Queue(pool=POOL, rank='bulk', length=2, size_bytes=99),
            ),
        )

    def configuration(self) -> config_log.Entry | None:
        return self.entry

    def shard_map(self) -> shards.ShardMap:
        shard = shards.Shard(
            shard_id=ids.ShardId('catalogue/0'),
            pool=POOL,
            low=0,
            high=shards.HASH_SPACE,
            owner=OWNER,
        )
        change = shards.MapChange(
            version=ids.MapVersion(1), txn=ids.TxnId('m1'), shards=(shard,)
        )
        return shards.ShardMap().apply(change)

    async def peers(self) -> Sequence[views.Peer]:
        outdated = views.Peer(
            vm=ids.VmId('entry-b1'),
            zone=ids.ZoneId('zone-b'),
            reachable=True,
            config_version=ids.ConfigVersion(0),
            map_version=ids.MapVersion(1),
        )
        unreachable = views.Peer(
            vm=ids.VmId('entry-c1'),
            zone=ids.ZoneId('zone-c'),
            reachable=False,
        )
        return (outdated, unreachable)

    async def find_request(
        self, request: ids.RequestId
    ) -> tuple[views.Request | None, tuple[ids.VmId, ...]]:
        unreachable = (ids.VmId('entry-c1'),)
        if request != 'r1':
            return None, unreachable
        attempt = views.Attempt(
            upstream=OWNER,
            started=START,
            duration_ms=900.0,
            result='unknown',
            reason='timeout',
        )
        found = views.Request(
            request=request,
            process=ids.VmId('entry-a1'),
            received=START,
            duration_ms=901.5,
            outcome='unknown',
            reason='timeout',
            status=504,
            rank='urgent',
            pool=POOL,
            attempts=(attempt,),
        )
        return found, unreachable

    async def timeline(self, query: views.TimelineQuery) -> views.Timeline:
        self.queries.append(query)
        events = tuple(
            views.Event(
                at=START + timedelta(milliseconds=i),
                counter=i,
                process=ids.VmId('entry-a1' if i % 2 else 'entry-b1'),
                kind='claim.raise' if i % 2 else 'request.done',
                detail='epoch 3 <&>',
                request=ids.RequestId('r1'),
            )
            for i in range(4)
        )
        return views.Timeline(
            events=events, unreachable=(ids.VmId('entry-c1'),)
        )

    async def submit(
        self, proposal: config_log.Proposal
    ) -> config_log.Outcome:
        outcome = await config_log.submit(proposal, self.store)
        if isinstance(outcome, config_log.Accepted):
            self.entry = outcome.entry
        return outcome

    def new_txn(self) -> ids.TxnId:
        self._txns += 1
        return ids.TxnId(f't{self._txns}')

    def submit_as_other_operator(self, change: config_changes.Change) -> None:
        """Store a change that this process has not received."""
        proposal = config_log.propose(
            self.entry, change, author='tarmo', txn=ids.TxnId('other')
        )
        self.store.apply(proposal.transaction)


class Server:
    """Serves a fake operator API on a loopback port, in a thread."""

    def __init__(self, process: FakeProcess) -> None:
        api = operator_api.OperatorApi(process=process, verifier=FakeAuth())
        self._server = http.server.HTTPServer(('127.0.0.1', 0), _handler(api))
        self._thread = threading.Thread(
            target=self._server.serve_forever,
            kwargs={'poll_interval': 0.01},
        )

    @property
    def address(self) -> str:
        return f'127.0.0.1:{self._server.server_port}'

    def __enter__(self) -> 'Server':
        self._thread.start()
        return self

    def __exit__(self, *args: object) -> None:
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()


def _handler(api: operator_api.OperatorApi) -> type[Any]:
    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            self._respond()

        def do_POST(self) -> None:
            self._respond()

        def _respond(self) -> None:
            parts = urllib.parse.urlsplit(self.path)
            length = int(self.headers.get('Content-Length', '0'))
            call = api.handle(
                method=self.command,
                path=parts.path,
                query=parts.query,
                body=self.rfile.read(length),
                authorization=self.headers.get('Authorization', ''),
            )
            response = memory_store.drive(call)
            self.send_response(response.status)
            self.send_header('Content-Length', str(len(response.body)))
            self.end_headers()
            self.wfile.write(response.body)

        def log_message(self, *args: object) -> None:
            """Suppress access logs in the test output."""

    return Handler
