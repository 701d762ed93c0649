"""Process tests of claims, leases and moves during failures."""

from datetime import timedelta

from goldcresthaven import errors
from goldcresthaven import http_head
from goldcresthaven import leases
from goldcresthaven import members
from tests import control_case
from tests import fleet_case
from tools import entry_harness
from tools import http_client

# Longest time until the keys of a lost upstream are served again.
MAX_RECOVERY = timedelta(seconds=4)
# Longest gap of keys that a failure does not affect. It covers scheduling
# delays on a busy machine.
MAX_UNAFFECTED_GAP = timedelta(seconds=1)
CLOCK = control_case.CLOCK
LATE: http_head.Headers = (
    ('idempotency-key', 'late'),
    ('x-deadline-ms', '500'),
)


class UpstreamTest(control_case.ControlCase):
    async def _split_keys(
        self, callers: control_case.Callers, name: str
    ) -> tuple[list[str], list[str]]:
        """Return the keys that an upstream owns and all other keys."""
        own = [k for k in control_case.KEYS if callers.owner(k) == name]
        others = [k for k in control_case.KEYS if k not in own]
        self.assertTrue(own)
        self.assertTrue(others)
        return own, others

    def test_killed(self) -> None:
        """Guards against keys that stay without an owner after a loss."""

        async def test() -> None:
            callers = await self.begin()
            own, others = await self._split_keys(callers, 'keyed-a')
            lost = CLOCK.elapsed()
            self.upstreams['keyed-a'].send(fleet_case.KILL)
            took = await self.until_served_after(callers, own, lost)
            self.report('upstream killed, keys served again', took)
            self.assertLess(took, MAX_RECOVERY)
            gap = max(callers.longest_gap(k, lost) for k in others)
            self.report('upstream killed, longest gap of others', gap)
            self.assertLess(gap, MAX_UNAFFECTED_GAP)
            await callers.stop()
            await self.check_owners(callers)

        entry_harness.run(test)

    def test_frozen_and_resumed(self) -> None:
        """Guards against two owners when a frozen upstream resumes."""

        async def test() -> None:
            callers = await self.begin()
            own, others = await self._split_keys(callers, 'keyed-a')
            lost = CLOCK.elapsed()
            self.upstreams['keyed-a'].send(fleet_case.STOP)
            late = await http_client.fetch(
                self.address('entry-0'),
                'GET',
                f'/keyed/{own[0]}',
                headers=LATE,
            )
            self.assertEqual('unknown', late.outcome)
            took = await self.until_served_after(callers, own, lost)
            self.report('upstream frozen, keys served again', took)
            self.assertLess(took, MAX_RECOVERY)
            gap = max(callers.longest_gap(k, lost) for k in others)
            self.report('upstream frozen, longest gap of others', gap)
            self.assertLess(gap, MAX_UNAFFECTED_GAP)
            resumed = CLOCK.elapsed()
            self.upstreams['keyed-a'].send(fleet_case.CONTINUE)
            await self.until_served_after(
                callers, control_case.KEYS, resumed + timedelta(seconds=1)
            )
            self.assertEqual(0, await self.executions('keyed-a', 'late'))
            await callers.stop()
            await self.check_owners(callers)

        entry_harness.run(test)


class HolderTest(control_case.ControlCase):
    async def _check_gap(
        self, callers: control_case.Callers, what: str, since: timedelta
    ) -> None:
        gap = max(callers.longest_gap(k, since) for k in control_case.KEYS)
        self.report(f'{what}, longest gap', gap)
        self.assertLess(gap, leases.LEASE)

    async def _wait_until_served_for_a_lease(
        self, callers: control_case.Callers
    ) -> None:
        """Wait until earlier leases have ended and all keys are served."""
        later = CLOCK.elapsed() + leases.LEASE

        async def over() -> bool:
            return CLOCK.elapsed() > later

        await self.until(over)
        await self.until_served_after(callers, control_case.KEYS, later)

    def test_killed(self) -> None:
        """Guards against leases that are not renewed after a loss."""

        async def test() -> None:
            callers = await self.begin()
            holder = await self.until_holder_is_not('')
            callers.entries.remove(self.address(holder))
            lost = CLOCK.elapsed()
            self.entries[holder].send(fleet_case.KILL)
            await self.until_holder_is_not(holder)
            self.report('holder killed, claim taken', CLOCK.elapsed() - lost)
            await self._wait_until_served_for_a_lease(callers)
            await self._check_gap(callers, 'holder killed', lost)
            await callers.stop()
            await self.check_owners(callers)

        entry_harness.run(test)

    def test_frozen_and_resumed(self) -> None:
        """Guards against a holder that acts after another one took over."""

        async def test() -> None:
            callers = await self.begin()
            holder = await self.until_holder_is_not('')
            callers.entries.remove(self.address(holder))
            lost = CLOCK.elapsed()
            self.entries[holder].send(fleet_case.STOP)
            await self.until_holder_is_not(holder)
            self.report('holder frozen, claim taken', CLOCK.elapsed() - lost)
            await self._wait_until_served_for_a_lease(callers)
            self.entries[holder].send(fleet_case.CONTINUE)
            callers.entries = [self.address(vm) for vm in self.entries]
            await self._wait_until_served_for_a_lease(callers)
            await self._check_gap(callers, 'holder frozen', lost)
            await callers.stop()
            await self.check_owners(callers)

        entry_harness.run(test)

    def test_store_loses_answers_during_takeover(self) -> None:
        """Guards against treating an applied epoch raise as failed."""

        async def test() -> None:
            callers = await self.begin()
            holder = await self.until_holder_is_not('')
            callers.entries.remove(self.address(holder))
            await self.set_faults(lose_answers=4)
            lost = CLOCK.elapsed()
            self.entries[holder].send(fleet_case.KILL)
            await self.until_holder_is_not(holder)
            await self._wait_until_served_for_a_lease(callers)
            await self._check_gap(callers, 'store lost answers', lost)
            await callers.stop()
            await self.check_owners(callers)

        entry_harness.run(test)

    def test_terminated_under_load(self) -> None:
        """Guards against failed requests during a planned shutdown."""

        async def test() -> None:
            callers = await self.begin()
            holder = await self.until_holder_is_not('')
            leaving = self.address(holder)
            began = CLOCK.elapsed()
            self.entries[holder].terminate()

            async def not_ready() -> bool:
                response = await http_client.fetch(leaving, 'GET', '/ready')
                return response.status == 503

            await self.until(not_ready)
            # Like a load balancer, the callers send it nothing more.
            callers.entries.remove(leaving)
            await self.until_holder_is_not(holder)
            self.report('holder ended, claim taken', CLOCK.elapsed() - began)
            await self._wait_until_served_for_a_lease(callers)
            await self._check_gap(callers, 'holder ended', began)
            await callers.stop()
            self.assertEqual([], callers.failed)
            self.assertEqual({}, dict(callers.refusals))
            await self.check_owners(callers)
            self.assertEqual(0, self.entries[holder].stop())

        entry_harness.run(test)


class StoreOutageTest(control_case.ControlCase):
    async def _wait_past_term(self) -> None:
        """Wait until claims and leases can be valid only by consent."""
        over = CLOCK.elapsed() + control_case.TERM + 2 * leases.LEASE

        async def passed() -> bool:
            return CLOCK.elapsed() > over

        await self.until(passed)

    def test_served_by_consent(self) -> None:
        """Guards against keys that are unserved during a store outage."""

        async def test() -> None:
            callers = await self.begin()
            holder = await self.until_holder_is_not('')
            others = sorted(self.entries.keys() - {holder})
            down = CLOCK.elapsed()
            await self.set_faults(down=True)
            await self._wait_past_term()
            gap = max(callers.longest_gap(k, down) for k in control_case.KEYS)
            self.report('store down 7 s, longest gap', gap)
            self.assertLess(gap, MAX_UNAFFECTED_GAP)
            # The claim ends when one peer does not consent.
            callers.entries.remove(self.address(others[0]))
            self.entries[others[0]].send(fleet_case.STOP)

            callers.refusals.clear()

            async def all_refused() -> bool:
                return all(
                    'not-run not-owner' in callers.refusals[key]
                    and callers.time_since_response(key) > MAX_UNAFFECTED_GAP
                    for key in control_case.KEYS
                )

            await self.until(all_refused)
            self.entries[others[0]].send(fleet_case.CONTINUE)
            await self.set_faults()
            back = CLOCK.elapsed()
            took = await self.until_served_after(
                callers, control_case.KEYS, back
            )
            self.report('store back, keys served again', took)
            await callers.stop()
            await self.check_owners(callers)

        entry_harness.run(test)

    def test_restart_takes_its_versions_from_peers(self) -> None:
        """Guards against a restarted entry that waits for the store."""

        async def test() -> None:
            callers = await self.begin()
            holder = await self.until_holder_is_not('')
            other = sorted(self.entries.keys() - {holder})[0]
            await self.set_faults(down=True)
            callers.entries.remove(self.address(other))
            self.entries[other].send(fleet_case.KILL)
            self.entries[other].popen.wait()
            started = CLOCK.elapsed()
            self.entries[other] = self.start_entry(
                other, peer_address=str(self.members_by_name[other].address)
            )
            await self._until_keys_are_served(self.address(other))
            self.report(
                'entry restarted without store, ready',
                CLOCK.elapsed() - started,
            )
            await callers.stop()
            await self.set_faults()
            await self.check_owners(callers)

        entry_harness.run(test)

    async def _until_keys_are_served(self, entry: members.Address) -> None:
        async def served() -> bool:
            for key in control_case.KEYS:
                try:
                    response = await http_client.fetch(
                        entry, 'GET', f'/keyed/{key}'
                    )
                except errors.Error:
                    return False
                if response.outcome != 'done':
                    return False
            return True

        await self.until(served)
