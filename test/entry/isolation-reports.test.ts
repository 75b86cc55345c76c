import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '@apricotwood/clock';
import {ClusterSimulation, type SimulatedHost} from '../fixtures/cluster-simulation.js';

/** Simulated time for the hosts of a new cluster to discover each other, ms. */
const SETTLE_MS = 4000;

async function createCluster(hostCount: number, zoneCount: number): Promise<ClusterSimulation> {
	const cluster = new ClusterSimulation(new SeededRandom(7), hostCount, zoneCount);
	await cluster.clock.advanceAsync(SETTLE_MS);
	return cluster;
}

/** Numbers of hosts that each of the others would send callers to. */
function countServing(cluster: ClusterSimulation, others: readonly SimulatedHost[]): Set<number> {
	return new Set(others.map(({isolation}) => isolation.listServing(cluster.clock.monotonic()).length));
}

for (const [hostCount, zoneCount] of [[10, 6], [87, 6]] as const) {
	for (const packetLossRatio of [0, 0.1]) {
		test(`isolation reports: all of ${hostCount} hosts learn within 1.5 s that one reaches no worker, and that it does again, with ${packetLossRatio * 100} % packet loss`, async () => {
			const cluster = await createCluster(hostCount, zoneCount);
			cluster.packetLossRatio = packetLossRatio;
			const [isolated, ...others] = cluster.getRunningHosts();
			isolated!.isolation.recordOwn(true);
			await cluster.clock.advanceAsync(1500);
			assert.deepEqual(countServing(cluster, others), new Set([hostCount - 2]));
			isolated!.isolation.recordOwn(false);
			await cluster.clock.advanceAsync(1500);
			assert.deepEqual(countServing(cluster, others), new Set([hostCount - 1]));
		});
	}
}

test('isolation reports: a host that hears from nobody for a while learns of it later, and calm costs no message', async () => {
	const cluster = await createCluster(10, 6);
	const [isolated, late] = cluster.getRunningHosts();
	assert.deepEqual(isolated!.isolation.takeEntries(cluster.clock.monotonic()), []);
	cluster.isolatedHosts.add(late!.entry.id);
	isolated!.isolation.recordOwn(true);
	await cluster.clock.advanceAsync(5000);
	cluster.isolatedHosts.clear();
	await cluster.clock.advanceAsync(4000);
	assert.equal(late!.isolation.listServing(cluster.clock.monotonic()).length, 8);
	assert.equal(late!.isolation.receive([[1, 'later']]), false);
});
