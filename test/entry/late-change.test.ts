import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '@apricotwood/clock';
import {
	MIN_CHECK_INTERVAL_MS, computeOwnReadAgeMs, createReadSchedule, type ReaderRank,
} from '@apricotwood/entry';
import {ClusterSimulation, type SimulatedHost} from '../fixtures/cluster-simulation.js';

/** Simulated time for the hosts of a new cluster to discover each other, ms. */
const SETTLE_MS = 4000;
const STEP_MS = 20;
const ZONES = 6;
const RELAYS_PER_ZONE = 2;

/** Number of hosts, and the time from the confirmation of a change until it must be in force on all of them, ms. */
const SIZES = [[10, 2000], [30, 3000], [87, 3000], [300, 3000]] as const;
/** Longest time where each host reaches the source, whatever the number of hosts, ms. */
const TARGET_MS = 1500;
/** Time within which one peer that responds is found among eight that do not, ms. */
const MANY_SILENT_MS = 4000;
const FAILING_RATIO = 0.35;
/** Longest time where every host responds, ms. */
const CALM_MS = 1000;

async function createCluster(hosts: number, deadlineMs: number): Promise<ClusterSimulation> {
	const cluster = new ClusterSimulation(new SeededRandom(1), hosts, ZONES, deadlineMs);
	await cluster.clock.advanceAsync(SETTLE_MS, STEP_MS);
	return cluster;
}

/** The first `perZone` hosts of each zone by hash; the first two are its relays. */
function listFirst(cluster: ClusterSimulation, perZone: number): SimulatedHost[] {
	const counts = new Map<string, number>();
	const first: SimulatedHost[] = [];
	for (const host of cluster.getRunningHosts().toSorted((a, b) => a.members.hash - b.members.hash)) {
		const count = counts.get(host.entry.zone) ?? 0;
		counts.set(host.entry.zone, count + 1);
		if (count < perZone) {
			first.push(host);
		}
	}

	return first;
}

/** Publishes a configuration. @returns the time until it is in force on all hosts that reach the source, ms; `Infinity` if it is not within `limitMs`. */
async function measureChange(cluster: ClusterSimulation, limitMs: number): Promise<number> {
	cluster.sourceContent.publishConfig();
	const {version} = cluster.sourceContent;
	const hosts = cluster.getRunningHosts().filter(({entry}) => !cluster.hostsWithoutSource.has(entry.id) && !cluster.hostsWithSilentSource.has(entry.id));
	for (let elapsedMs = STEP_MS; elapsedMs <= limitMs; elapsedMs += STEP_MS) {
		await cluster.clock.advanceAsync(STEP_MS, STEP_MS); // eslint-disable-line no-await-in-loop
		if (hosts.every(({state}) => state.table?.version === version)) {
			return elapsedMs;
		}
	}

	return Number.POSITIVE_INFINITY;
}

/** The steps from the last time at which a host's data matched the source until it has a change by its own read, with their limits in ms: the path that needs no other host. */
function listOwnReadSteps(deadlineMs: number, rank: ReaderRank): Array<readonly [string, number]> {
	const schedule = createReadSchedule(deadlineMs, deadlineMs);
	return [
		['age at which the host reads itself', computeOwnReadAgeMs(schedule, rank)],
		['check whether a read is due', MIN_CHECK_INTERVAL_MS],
		['read of the source', schedule.readTimeoutMs],
	];
}

for (const [hosts, deadlineMs] of SIZES) {
	for (const zoneSize of [Math.ceil(hosts / ZONES), hosts]) {
		test(`late change: the steps of the path without other hosts end within ${deadlineMs} ms for each of ${hosts} hosts in zones of ${zoneSize}`, () => {
			for (let inZone = 0; inZone < zoneSize; inZone++) {
				const steps = listOwnReadSteps(deadlineMs, {overall: hosts - 1, inZone, zoneSize});
				let sumMs = 0;
				for (const [, limitMs] of steps) {
					sumMs += limitMs;
				}

				assert.ok(sumMs <= deadlineMs, steps.map(step => step.join(': ')).join(', '));
			}
		});
	}
}

async function assertChangeInTime(cluster: ClusterSimulation): Promise<void> {
	const delayMs = await measureChange(cluster, 2 * cluster.changeDeadlineMs);
	assert.ok(delayMs <= cluster.changeDeadlineMs, `the change was in force after ${delayMs} ms`);
}

/** Makes hosts alive, with heartbeats, and without responses to requests for changes. */
function silence(cluster: ClusterSimulation, hosts: readonly SimulatedHost[]): void {
	for (const {entry} of hosts) {
		cluster.hostsWithoutCatchUp.add(entry.id);
	}
}

for (const [hosts, deadlineMs] of SIZES) {
	test(`late change: ${hosts} hosts, both relays of each zone alive and without responses, and the reader ends: in force within ${deadlineMs} ms`, async () => {
		const cluster = await createCluster(hosts, deadlineMs);
		const relays = listFirst(cluster, RELAYS_PER_ZONE);
		silence(cluster, relays);
		await assertChangeInTime(cluster);
		relays[0]!.kill();
		await assertChangeInTime(cluster);
	});
}

for (const [hosts, deadlineMs] of [[10, 2000], [30, 3000], [87, 3000]] as const) {
	test(`late change: ${hosts} hosts, one relay of each zone alive and without responses: in force within ${deadlineMs} ms`, async () => {
		const cluster = await createCluster(hosts, deadlineMs);
		silence(cluster, listFirst(cluster, 1));
		const random = new SeededRandom(7);
		for (let change = 0; change < 4; change++) {
			await assertChangeInTime(cluster); // eslint-disable-line no-await-in-loop
			await cluster.clock.advanceAsync(random.next() * 1000, STEP_MS); // eslint-disable-line no-await-in-loop
		}
	});
}

for (const [hosts, deadlineMs] of [[30, 3000], [87, 3000]] as const) {
	test(`late change: ${hosts} hosts, both relays of each zone without the source and without responses: in force on the others within ${deadlineMs} ms`, async () => {
		const cluster = await createCluster(hosts, deadlineMs);
		const relays = listFirst(cluster, RELAYS_PER_ZONE);
		silence(cluster, relays);
		for (const {entry} of relays) {
			cluster.hostsWithoutSource.add(entry.id);
		}

		await assertChangeInTime(cluster);
	});
}

for (const [hosts, deadlineMs] of [[10, 2000], [30, 3000], [87, 3000]] as const) {
	test(`late change: ${hosts} hosts, a third without responses to peers and a third without responses from the source: in force on all that reach the source within ${deadlineMs} ms`, async () => {
		for (let seed = 1; seed <= 5; seed++) {
			const random = new SeededRandom(seed);
			const cluster = await createCluster(hosts, deadlineMs); // eslint-disable-line no-await-in-loop
			for (const {entry} of cluster.getRunningHosts()) {
				if (random.next() < FAILING_RATIO) {
					cluster.hostsWithoutCatchUp.add(entry.id);
				}

				if (random.next() < FAILING_RATIO) {
					cluster.hostsWithSilentSource.add(entry.id);
				}
			}

			await assertChangeInTime(cluster); // eslint-disable-line no-await-in-loop
		}
	});
}

test('late change: a reader that reads slowly leaves the reads to another host', async () => {
	const cluster = await createCluster(30, 3000);
	const [reader, next] = cluster.getRunningHosts().toSorted((a, b) => a.members.hash - b.members.hash);
	assert.equal(reader!.isReader, true);
	cluster.sourceLatencyMs.set(reader!.entry.id, 800);
	await cluster.clock.advanceAsync(2000, STEP_MS);
	assert.equal(reader!.isReader, false);
	assert.equal(next!.isReader, true);
	const delayMs = await measureChange(cluster, 3000);
	assert.ok(delayMs <= CALM_MS, `the change was in force after ${delayMs} ms`);
});

test('late change: a host to which the source does not respond gets a change from the one peer that responds', async () => {
	const cluster = await createCluster(10, 2000);
	const [waiting, sound, ...others] = cluster.getRunningHosts();
	cluster.hostsWithSilentSource.add(waiting!.entry.id);
	silence(cluster, others);
	cluster.sourceContent.publishConfig();
	await cluster.clock.advanceAsync(MANY_SILENT_MS, STEP_MS);
	assert.equal(sound!.state.table?.version, cluster.sourceContent.version);
	assert.equal(waiting!.state.table?.version, cluster.sourceContent.version);
});

test('late change: where every host reaches the source, the time until a change is in force does not grow with the number of hosts', async () => {
	for (const [hosts, deadlineMs] of SIZES.slice(0, 3)) {
		const cluster = await createCluster(hosts, deadlineMs); // eslint-disable-line no-await-in-loop
		silence(cluster, listFirst(cluster, RELAYS_PER_ZONE));
		const delayMs = await measureChange(cluster, 2 * deadlineMs); // eslint-disable-line no-await-in-loop
		assert.ok(delayMs <= TARGET_MS, `${hosts} hosts: ${delayMs} ms`);
	}
});
