import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {SeededRandom} from '@apricotwood/clock';
import {
	ReportKind, decodeHeartbeat, decodeRateLimits, decodeReport, encodeRateLimits, encodeReport, isReport,
} from '@apricotwood/entry';
import {hashText} from '@apricotwood/routing';
import type {RateLimit} from '@apricotwood/steering';
import fc from 'fast-check';
import {ClusterSimulation} from '../fixtures/cluster-simulation.js';

/** The worker of the simulated source. */
const WORKER = hashText('w');
/** Simulated time for the hosts of a new cluster to discover each other, ms. */
const SETTLE_MS = 4000;

const limit: fc.Arbitrary<RateLimit> = fc.record({
	worker: fc.nat({max: (2 ** 32) - 1}), perSecond: fc.option(fc.double({min: 0, max: 1e6, noNaN: true}), {nil: undefined}), version: fc.integer({min: 1, max: 1e9}),
});

test('rate limit reports: decoding an encoded report restores it, and hosts of earlier releases ignore it', () => {
	fc.assert(fc.property(fc.array(limit), limits => {
		const bytes = encodeReport({kind: ReportKind.RateLimits, entries: encodeRateLimits(limits)});
		assert.equal(isReport(bytes), true);
		const report = decodeReport(bytes);
		assert.equal(report?.kind, ReportKind.RateLimits);
		assert.deepEqual(structuredClone(decodeRateLimits(report?.entries)), structuredClone(limits));
		assert.equal(decodeHeartbeat(bytes), undefined);
	}));
});

test('rate limit reports: invalid bytes are rejected without an exception', () => {
	fc.assert(fc.property(fc.uint8Array({maxLength: 60}), bytes => {
		decodeRateLimits(decodeReport(Buffer.from([0xC1, ...bytes]))?.entries);
	}));
	assert.equal(decodeReport(Buffer.of(0xC1)), undefined);
	assert.equal(decodeRateLimits(undefined), undefined);
});

for (const [hostCount, zoneCount] of [[3, 1], [10, 6], [87, 6]] as const) {
	for (const packetLossRatio of [0, 0.1]) {
		test(`rate limit reports: ${hostCount} hosts in ${zoneCount} zones all learn of a limit, and of its end, within 1.5 s with ${packetLossRatio * 100} % packet loss`, async () => {
			const cluster = new ClusterSimulation(new SeededRandom(3), hostCount, zoneCount);
			await cluster.clock.advanceAsync(SETTLE_MS);
			cluster.packetLossRatio = packetLossRatio;
			const hosts = cluster.getRunningHosts();
			const getLimits = () => new Set(hosts.map(({rateLimits}) => rateLimits.get(WORKER)));
			hosts[0]!.rateLimits.recordResponse(WORKER, 2.8, cluster.clock.monotonic());
			await cluster.clock.advanceAsync(1500);
			assert.deepEqual(getLimits(), new Set([2.8]));
			hosts.at(-1)!.rateLimits.recordResponse(WORKER, undefined, cluster.clock.monotonic());
			await cluster.clock.advanceAsync(1500);
			assert.deepEqual(getLimits(), new Set([undefined]));
		});
	}
}

test('rate limits: a host that fell silent keeps its part for a minute, one that left does not', async () => {
	const cluster = new ClusterSimulation(new SeededRandom(3), 6, 3);
	await cluster.clock.advanceAsync(SETTLE_MS);
	const [observer, , ...others] = cluster.getRunningHosts();
	const countSilent = () => observer!.members.countSilent(cluster.clock.monotonic());
	assert.equal(countSilent(), 0);
	others[0]!.kill();
	cluster.isolatedHosts.add(others[1]!.entry.id);
	await cluster.clock.advanceAsync(3000);
	assert.equal(countSilent(), 2);
	cluster.isolatedHosts.clear();
	await cluster.clock.advanceAsync(3000);
	assert.equal(countSilent(), 1);
	await cluster.clock.advanceAsync(60_000);
	assert.equal(countSilent(), 0);
	others[2]!.isLeaving = true;
	await cluster.clock.advanceAsync(1000);
	others[2]!.kill();
	await cluster.clock.advanceAsync(3000);
	assert.equal(countSilent(), 0);
});
