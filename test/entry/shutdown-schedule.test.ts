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
