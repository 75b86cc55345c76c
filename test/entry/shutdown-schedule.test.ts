import assert from 'node:assert/strict';
import {test} from 'node:test';
import {computeShutdownSchedule} from '@apricotwood/entry';

const CASES = [
	[{graceMs: 6000, lookupLifetimeMs: 4500}, {closeAfterMs: 4500, endAfterMs: 5800}],
	[{graceMs: 1000, lookupLifetimeMs: 4500}, {closeAfterMs: 750, endAfterMs: 875}],
	[{graceMs: 60_000, lookupLifetimeMs: 4500}, {closeAfterMs: 4500, endAfterMs: 59_800}],
] as const;
for (const [periods, schedule] of CASES) {
	test(`shutdown: a host with a grace period of ${periods.graceMs} ms stays open while look-ups name it, and uses the rest`, () => {
		assert.deepEqual(computeShutdownSchedule(periods), schedule);
	});
}

/** Part of the grace period at whose end a request that its worker still runs may be cut, as a ratio. */
const EXCUSED_RATIO = 1 / 6;

// LOST: a fixed margin was more than the excused part of a short grace period.
test('shutdown: for any grace period, requests in flight are cut in its last sixth only, and after the host has closed', () => {
	for (let graceMs = 100; graceMs <= 60_000; graceMs += 50) {
		for (const lookupLifetimeMs of [0, 700, 4500, 60_000]) {
			const {closeAfterMs, endAfterMs} = computeShutdownSchedule({graceMs, lookupLifetimeMs});
			assert.ok(endAfterMs >= graceMs * (1 - EXCUSED_RATIO) && endAfterMs < graceMs, `${graceMs} ms`);
			assert.ok(closeAfterMs < endAfterMs, `${graceMs} ms`);
		}
	}
});
