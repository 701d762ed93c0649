"""Removes the rules of sole ownership one at a time, with violation rates.

This is mutation testing of ``coordinator_sim``: each knockout replaces
functions of the product for the duration of a run. ``python -m
proofs.coordinator_knockouts`` prints how many of the runs violate sole
ownership without each rule, and with all of them.
"""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent import futures
import contextlib
from dataclasses import dataclass
from datetime import timedelta
import sys
from typing import Any
from unittest import mock

from goldcresthaven import hold_bounds
from goldcresthaven import key_coordinator_state
from goldcresthaven import key_grants
from goldcresthaven import key_map
from goldcresthaven import key_release
from goldcresthaven import members
from goldcresthaven.platform import leases
from proofs import coordinator_sim
from proofs import coordinator_store
from proofs import coordinator_world

PROCESSES = 2
CHUNK = 100


@dataclass(frozen=True, kw_only=True, slots=True)
class Knockout:
    """A rule, and what replaces the functions that implement it.

    ``copies`` selects runs in which copies answer renewals that are held
    back while the claim is taken over.
    """

    rule: str
    patches: tuple[tuple[Any, str, Any], ...]
    copies: bool = False

    @contextlib.contextmanager
    def applied(self) -> Iterator[None]:
        """Remove the rule while the context is active."""
        with contextlib.ExitStack() as stack:
            for target, name, value in self.patches:
                stack.enter_context(mock.patch.object(target, name, value))
            yield

    def violates(self, seed: int) -> bool:
        with self.applied():
            outcome = coordinator_sim.run(seed, copies=self.copies)
        return bool(outcome.violations)


def _no_time(*args: Any, **kwargs: Any) -> timedelta:
    return timedelta()


def _nothing(*args: Any, **kwargs: Any) -> None:
    return None


async def _nothing_async(*args: Any, **kwargs: Any) -> None:
    return None


async def _no_higher_fence(
    releaser: Any, term: Any, source: key_map.KeyRange, *args: Any
) -> tuple[int, None]:
    return source.fence, None


def _grant_with_stale_claim(
    term: key_coordinator_state.ClaimTerm, now: timedelta, *, renewal: Any
) -> bool:
    return term.may_renew(now)


def _without_permission(grant: Callable[..., Any]) -> Callable[..., Any]:
    async def send(*args: Any, **kwargs: Any) -> key_grants.GrantReply:
        reply: key_grants.GrantReply = await grant(
            *args, **{**kwargs, 'may_send': lambda: True}
        )
        return reply

    return send


def _nominal_hold_end(arrived_by: timedelta, hold: timedelta) -> timedelta:
    return arrived_by + hold


def _reconnect(
    pool: coordinator_world.Pool, address: members.Address, *, opened: int
) -> coordinator_world.Conn | None:
    return pool.connect_now(address)


async def _reuse(
    pool: coordinator_world.Pool, address: members.Address, *, limit: int
) -> coordinator_world.Conn:
    return pool.take_idle(address) or await pool.open(address)


def _accept_any_part(
    holds: Any, key_range: key_map.KeyRange, until: timedelta
) -> None:
    holds.record_range(key_range)
    _RECORD_ACCEPTED(holds, key_range, until)


def _forget_earlier_holds(
    holds: Any, key_range: key_map.KeyRange, until: timedelta
) -> None:
    _RECORD_ACCEPTED(holds, key_range, timedelta())


def _take_as_answered(
    holds: Any, grant: hold_bounds.SentGrant, at: timedelta, connection: Any
) -> None:
    holds.record_answered(grant, at)


def _take_as_round_trip(
    holds: Any, grant: hold_bounds.SentGrant, at: timedelta, connection: Any
) -> None:
    _RECORD_PROVISIONAL(holds, grant, at, connection)
    holds.record_round_trip(sent_at=grant.sent_at, answered_at=at)


def _believe_rejection(status: int, *, kept: bool) -> key_grants.GrantResult:
    return _REJECTION(status, kept=False)


def _keep_after_rejection(conn: coordinator_world.Conn, status: int) -> bool:
    return not conn.retired and conn.is_reusable()


def _note_end_as_orderly(conn: coordinator_world.Conn) -> None:
    conn.closed_in_order = True


async def _forget(
    pool: coordinator_world.Pool, address: members.Address, number: int
) -> None:
    """End a connection without dropping what is held back on it."""
    for conn in pool.remove_idle(address, number):
        conn.forgotten = True


_RECORD_PROVISIONAL = hold_bounds.HoldBounds.record_provisional
_REJECTION = leases._rejection
_TERM = key_coordinator_state.ClaimTerm
_BOUNDS = hold_bounds.HoldBounds
_RECORD_ACCEPTED = _BOUNDS.record_accepted
_CALLS = leases.PlatformLeases
_POOL = coordinator_world.Pool

KNOCKOUTS = (
    Knockout(
        rule='keys move only when their holds have ended',
        patches=((_BOUNDS, 'free_at', _no_time),),
    ),
    Knockout(
        rule='holds of earlier holders of the claim count',
        patches=((_BOUNDS, '_inherited_for', _no_time),),
    ),
    Knockout(
        rule='an owner accepts a higher fence before a release',
        patches=((key_release.Releaser, '_raise_fence', _no_higher_fence),),
    ),
    Knockout(
        rule='grants need a valid claim',
        patches=((_TERM, 'is_valid', lambda term, now: True),),
    ),
    Knockout(
        rule='first grants of a fence need a fresh claim',
        patches=((_TERM, 'may_grant', _grant_with_stale_claim),),
    ),
    Knockout(
        rule='the permission to grant is checked when connected',
        patches=((_CALLS, 'grant', _without_permission(_CALLS.grant)),),
    ),
    Knockout(
        rule='a new holder raises all fences',
        patches=((_TERM, '_ranges_with_new_fences', lambda term: []),),
    ),
    Knockout(
        rule='moving keys are not renewed',
        patches=((_TERM, 'moving_ranges', lambda term: []),),
    ),
    Knockout(
        rule='writes are conditional',
        patches=(
            (
                coordinator_store.Store,
                'apply',
                coordinator_store.Store.apply_unconditionally,
            ),
        ),
    ),
    Knockout(
        rule='a delayed call is not sent',
        patches=((_CALLS, '_is_late', lambda *args: False),),
    ),
    Knockout(
        rule='a call without a response is reset',
        patches=((_POOL, 'discard', _nothing_async),),
    ),
    Knockout(
        rule='packets may wait in the queue of a link',
        patches=((hold_bounds, 'PACKET_LIFETIME', timedelta()),),
    ),
    Knockout(
        rule="upstreams' clocks may be slow",
        patches=((key_grants, 'hold_end', _nominal_hold_end),),
    ),
    Knockout(
        rule='renewals need a connection from before the grant',
        patches=((_POOL, 'take_opened_before', _reconnect),),
    ),
    Knockout(
        rule='a new fence keeps the bounds of the old one',
        patches=((_BOUNDS, 'record_new_fence', _nothing),),
    ),
    Knockout(
        rule='bounds are unknown while a grant is being sent',
        patches=((hold_bounds.SentGrant, 'is_open', False),),
    ),
    Knockout(
        rule='new fences and releases use new connections',
        patches=((_POOL, 'take_new', _reuse),),
    ),
    Knockout(
        rule='a part of a range does not clear the inherited bound',
        patches=((_BOUNDS, 'record_accepted', _accept_any_part),),
    ),
    Knockout(
        rule='an accepted fence does not end earlier holds',
        patches=((_BOUNDS, 'record_accepted', _forget_earlier_holds),),
    ),
    Knockout(
        rule='a release waits for renewals in flight',
        patches=(
            (key_release.Releaser, '_wait_for_renewals', _nothing_async),
        ),
    ),
    Knockout(
        rule='an acceptance on a kept connection is provisional',
        patches=((_BOUNDS, 'record_provisional', _take_as_answered),),
        copies=True,
    ),
    Knockout(
        rule='a rejection on a kept connection proves nothing',
        patches=(
            (leases, '_rejection', _believe_rejection),
            (leases, '_may_keep', _keep_after_rejection),
        ),
        copies=True,
    ),
    Knockout(
        rule='a response on a kept connection is no round trip',
        patches=((_BOUNDS, 'record_provisional', _take_as_round_trip),),
        copies=True,
    ),
    Knockout(
        rule='unread input or a reset is no orderly close',
        patches=((coordinator_world.Conn, 'note_end', _note_end_as_orderly),),
        copies=True,
    ),
    Knockout(
        rule='connections are reset before a bound on their last grants',
        patches=((_POOL, 'retire', _forget),),
        copies=True,
    ),
    Knockout(
        rule='one later response does not confirm a grant',
        patches=((hold_bounds, 'CONFIRMING_RESPONSES', 1),),
        copies=True,
    ),
)
PRODUCT = Knockout(rule='all rules', patches=())
PRODUCT_COPIES = Knockout(
    rule='all rules, runs with copies', patches=(), copies=True
)
_ALL = (PRODUCT, PRODUCT_COPIES, *KNOCKOUTS)


def _count(rule: str, first: int, last: int) -> int:
    knockout = next(k for k in _ALL if k.rule == rule)
    return sum(knockout.violates(seed) for seed in range(first, last))


def main(seeds: int) -> None:
    """Print the number of runs with violations for each rule removed."""
    chunks = [
        (first, min(first + CHUNK, seeds)) for first in range(0, seeds, CHUNK)
    ]
    with futures.ProcessPoolExecutor(max_workers=PROCESSES) as executor:
        for knockout in _ALL:
            counts = [
                executor.submit(_count, knockout.rule, first, last)
                for first, last in chunks
            ]
            found = sum(count.result() for count in counts)
            print(f'{found:6} of {seeds}  {knockout.rule}', flush=True)


if __name__ == '__main__':
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1000)
