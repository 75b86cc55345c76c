import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '@apricotwood/clock';
import {
	ReportKind, decodeCrashes, decodeReport, decodeTrials, encodeReport, encodeTrials,
} from '@apricotwood/entry';
import type {TrialReport} from '@apricotwood/steering';
import fc from 'fast-check';
import {ClusterSimulation} from '../fixtures/cluster-simulation.js';

/** Simulated time for the hosts of a new cluster to discover each other, ms. */
const SETTLE_MS = 4000;
const REQUEST = 'request';
const STEP_MS = 100;
const MAX_TRIALS = 3;
/** Trials later than this after the third crash count, ms. */
const CONTACT_MS = 3000;

const hash = fc.nat({max: (2 ** 32) - 1});
const wait = fc.nat({max: 3_600_000});
const trial: fc.Arbitrary<TrialReport> = fc.record({
	request: fc.string({minLength: 1, maxLength: 64}), generation: fc.nat(), runs: fc.array(hash), waitMs: wait, turnHost: hash, turnMs: wait, isDoubtful: fc.boolean(),
});

test('trial reports: decoding an encoded report restores it, and invalid ones are rejected', () => {
	fc.assert(fc.property(fc.array(trial), trials => {
		const report = decodeReport(encodeReport({kind: ReportKind.Trials, entries: encodeTrials(trials)}));
		assert.equal(report?.kind, ReportKind.Trials);
		assert.deepEqual(structuredClone(decodeTrials(report?.entries)), structuredClone(trials));
	}));
	assert.equal(decodeTrials([['request', 0, [1], -1, 0, 0, false]]), undefined);
	assert.equal(decodeTrials('request'), undefined);
	assert.equal(decodeCrashes(encodeTrials([{
		request: REQUEST, generation: 0, runs: [], waitMs: 0, turnHost: 0, turnMs: 0, isDoubtful: false,
	}])), undefined);
});

/** Lets all hosts send the request, which ends each worker, whenever they may. @returns the times of the runs after the start, ms. */
async function sendTrials(cluster: ClusterSimulation, durationMs: number, onStep: (elapsedMs: number) => void): Promise<number[]> {
	const startMs = cluster.clock.monotonic();
	const sentMs: number[] = [];
	for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
		onStep(elapsedMs);
		for (const {crashes, members, heartbeats, state} of cluster.getRunningHosts()) {
			const nowMs = cluster.clock.monotonic();
			if (!crashes.needsTrial(REQUEST)) {
				// A host that has not heard of the request sends it as any other.
				if (state.isLoaded && elapsedMs > CONTACT_MS) {
					sentMs.push(nowMs - startMs);
				}

				continue;
			}

			if (crashes.hasTurn(REQUEST, members.hash, nowMs)) {
				sentMs.push(nowMs - startMs);
				crashes.beginTrial(REQUEST, 1000 + sentMs.length, nowMs + 200, nowMs);
				crashes.recordCrash(REQUEST, 1000 + sentMs.length, nowMs);
			} else if (crashes.takeTurn(REQUEST, members.hash, nowMs) === undefined) {
				continue;
			}

			heartbeats.sendReports();
		}

		await cluster.clock.advanceAsync(STEP_MS);
	}

	return sentMs;
}

for (const [hostCount, zoneCount] of [[3, 1], [10, 6], [87, 6]] as const) {
	for (const packetLossRatio of [0, 0.1]) {
		for (const wasServed of [false, true]) {
			const name = `trial reports: ${hostCount} hosts in ${zoneCount} zones with ${packetLossRatio * 100} % packet loss send one trial at a time, at most three in all${wasServed ? ', also of a request that was served' : ''}`;
			test(name, async () => {
				const cluster = new ClusterSimulation(new SeededRandom(7), hostCount, zoneCount);
				await cluster.clock.advanceAsync(SETTLE_MS);
				cluster.packetLossRatio = packetLossRatio;
				for (const {crashes, heartbeats} of cluster.getRunningHosts().slice(0, 3)) {
					for (const worker of [1, 2, 3]) {
						crashes.recordCrash(REQUEST, worker, cluster.clock.monotonic());
					}

					if (wasServed) {
						crashes.recordServedBefore(REQUEST);
					}

					heartbeats.sendReports();
				}

				const sentMs = await sendTrials(cluster, 15_000, () => {});
				assert.ok(sentMs.length > 0 && sentMs.length <= MAX_TRIALS, `${sentMs.length} trials`);
				for (const [index, atMs] of sentMs.slice(1).entries()) {
					assert.ok(atMs - sentMs[index]! >= 1000, `trials ${sentMs.join(', ')} ms after the third crash`);
				}

				assert.ok(sentMs.filter(atMs => atMs > CONTACT_MS).length <= MAX_TRIALS);
			});
		}
	}
}

test('trial reports: hosts that are restarted or join learn what is quarantined before they serve, and how often it was tried', async () => {
	const cluster = new ClusterSimulation(new SeededRandom(7), 10, 6);
	await cluster.clock.advanceAsync(SETTLE_MS);
	const [first] = cluster.getRunningHosts();
	for (const worker of [1, 2, 3]) {
		first!.crashes.recordCrash(REQUEST, worker, cluster.clock.monotonic());
	}

	first!.heartbeats.sendReports();
	const sentMs = await sendTrials(cluster, 25_000, elapsedMs => {
		const index = elapsedMs / 1000;
		if (Number.isInteger(index) && index >= 4 && index < 16) {
			cluster.hosts.get(`h${index % 12}`)?.kill();
			cluster.start(`h${index % 12}`, `z${index % 6}`);
		}
	});
	const late = sentMs.filter(atMs => atMs > CONTACT_MS);
	assert.ok(late.length > 0 && late.length <= MAX_TRIALS, `runs ${late.join(', ')} ms after the third crash`);
});
