import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {SeededRandom} from '@apricotwood/clock';
import {
	ReportKind, decodeCrashes, decodeHeartbeat, decodeRateLimits, decodeReport, encodeCrashes, encodeReport,
} from '@apricotwood/entry';
import {CrashVerdict, type CrashReport} from '@apricotwood/steering';
import fc from 'fast-check';
import {ClusterSimulation} from '../fixtures/cluster-simulation.js';

/** Simulated time for the hosts of a new cluster to discover each other, ms. */
const SETTLE_MS = 4000;
const REQUEST = 'request';

const crash: fc.Arbitrary<CrashReport> = fc.record({
	request: fc.string({minLength: 1, maxLength: 64}), generation: fc.nat(), workers: fc.array(fc.nat({max: (2 ** 32) - 1})), ageMs: fc.nat(),
});

test('crash reports: decoding an encoded report restores it, and other decoders ignore it', () => {
	fc.assert(fc.property(fc.array(crash), crashes => {
		const bytes = encodeReport({kind: ReportKind.Crashes, entries: encodeCrashes(crashes)});
		const report = decodeReport(bytes);
		assert.equal(report?.kind, ReportKind.Crashes);
		assert.deepEqual(structuredClone(decodeCrashes(report?.entries)), structuredClone(crashes));
		assert.equal(decodeHeartbeat(bytes), undefined);
	}));
});

test('crash reports: invalid bytes and unknown kinds are rejected without an exception', () => {
	fc.assert(fc.property(fc.uint8Array({maxLength: 60}), bytes => {
		const report = decodeReport(Buffer.from([0xC1, ...bytes]));
		decodeCrashes(report?.entries);
		decodeRateLimits(report?.entries);
	}));
	assert.equal(decodeReport(encodeReport({kind: 'later' as ReportKind, entries: [1]})), undefined);
	assert.equal(decodeCrashes([['request', -1, [1], 0]]), undefined);
});

for (const [hostCount, zoneCount] of [[3, 1], [10, 6], [87, 6]] as const) {
	for (const packetLossRatio of [0, 0.1]) {
		const name = `crash reports: three hosts of ${hostCount} in ${zoneCount} zones see one crash each, all quarantine the request within 1.5 s with ${packetLossRatio * 100} % packet loss`;
		test(name, async () => {
			const cluster = new ClusterSimulation(new SeededRandom(5), hostCount, zoneCount);
			await cluster.clock.advanceAsync(SETTLE_MS);
			cluster.packetLossRatio = packetLossRatio;
			const hosts = cluster.getRunningHosts();
			for (const [index, host] of [hosts[0]!, hosts[1]!, hosts.at(-1)!].entries()) {
				host.crashes.recordCrash(REQUEST, index, cluster.clock.monotonic());
			}

			await cluster.clock.advanceAsync(1500);
			const nowMs = cluster.clock.monotonic();
			assert.deepEqual(new Set(hosts.map(({crashes}) => crashes.classify(REQUEST, nowMs))), new Set([CrashVerdict.Quarantined]));
		});
	}
}

test('crash reports: a host that was cut off learns of a quarantine from its peers, and calm costs no message', async () => {
	const cluster = new ClusterSimulation(new SeededRandom(5), 10, 6);
	await cluster.clock.advanceAsync(SETTLE_MS);
	const [first, ...others] = cluster.getRunningHosts();
	const late = others.at(-1)!;
	assert.deepEqual(first!.crashes.takeReports(cluster.clock.monotonic()), []);
	cluster.isolatedHosts.add(late.entry.id);
	for (const worker of [1, 2, 3]) {
		first!.crashes.recordCrash(REQUEST, worker, cluster.clock.monotonic());
	}

	await cluster.clock.advanceAsync(5000);
	assert.equal(late.crashes.classify(REQUEST, cluster.clock.monotonic()), CrashVerdict.Clear);
	cluster.isolatedHosts.clear();
	await cluster.clock.advanceAsync(5000);
	assert.equal(late.crashes.classify(REQUEST, cluster.clock.monotonic()), CrashVerdict.Quarantined);
});

test('crash reports: what a host sees while it hears from nobody is told when it hears from others again', async () => {
	const cluster = new ClusterSimulation(new SeededRandom(5), 10, 6);
	await cluster.clock.advanceAsync(SETTLE_MS);
	const hosts = cluster.getRunningHosts();
	const apart = hosts.slice(0, 3);
	for (const {entry} of apart) {
		cluster.isolatedHosts.add(entry.id);
	}

	await cluster.clock.advanceAsync(2000);
	for (const [index, {crashes}] of apart.entries()) {
		crashes.recordCrash(REQUEST, index, cluster.clock.monotonic());
	}

	await cluster.clock.advanceAsync(2000);
	cluster.isolatedHosts.clear();
	await cluster.clock.advanceAsync(2500);
	const nowMs = cluster.clock.monotonic();
	assert.deepEqual(new Set(hosts.map(({crashes}) => crashes.classify(REQUEST, nowMs))), new Set([CrashVerdict.Quarantined]));
});
