import assert from 'node:assert/strict';
import {
	after, afterEach, before, test,
} from 'node:test';
import {FakeStoreMode, FakeWorker} from '@apricotwood/platform/standin';
import {applyLoad, computeServedRatio, type LoadCall} from '../fixtures/cluster-load.js';
import {TestCluster} from '../fixtures/test-cluster.js';
import {waitUntil} from '../fixtures/test-entry-host.js';

/** The platform's bound on the time for which a host may use a worker after it has forwarded a response that says that the worker is leaving, ms. */
const DRAIN_MS = 2000;
const REQUEST_GAP_MS = 15;

const workers = [new FakeWorker('w1', 'board'), new FakeWorker('w2', 'board', 'a2'), new FakeWorker('w3', 'board', 'b1')];
for (const worker of workers) {
	worker.processingMs = 20;
}

const leaving = workers[0]!;
const cluster = new TestCluster({firstOctet: 61, zones: ['a1', 'a2', 'b1', 'a1'], workers});
const {store, hosts} = cluster;

/** Calls that reached the worker although they were sent later than `DRAIN_MS` after their host had forwarded a response that says that it is leaving. */
function findLateCalls(calls: readonly LoadCall[], worker: FakeWorker): LoadCall[] {
	const toldAtMs = new Map<number, number>();
	for (const {host, endAtMs, res} of calls) {
		if (res.headers['server-leaving'] !== undefined && res.headers['server-signature'] === `sig-${worker.id}`) {
			toldAtMs.set(host, Math.min(endAtMs, toldAtMs.get(host) ?? endAtMs));
		}
	}

	const receivedIds = new Set(worker.receivedRequests.map(({id}) => id));
	return calls.filter(({id, host, sentAtMs}) => receivedIds.has(id) && sentAtMs > (toldAtMs.get(host) ?? Number.POSITIVE_INFINITY) + DRAIN_MS);
}

before(async () => {
	await cluster.start();
	await applyLoad(hosts, 500, REQUEST_GAP_MS);
});

after(async () => {
	await cluster.stop();
});

let born = 1;

/** Heals the store and starts the worker again. */
afterEach(async () => {
	store.mode = FakeStoreMode.Healthy;
	leaving.isDraining = false;
	store.putWorker(leaving.id, leaving.createEntry('ready', leaving.address, ++born));
	await waitUntil('all hosts know of the restart', () => hosts.every(({host}) => host.state.fleet.get(leaving.id)?.registration.bornMs === born));
});

// DRAIN: requests reached a worker up to 11 s after hosts had forwarded its word that it was leaving, while the store was away.
test('a worker whose responses say that it is leaving gets no more requests while the store is away', async () => {
	store.mode = FakeStoreMode.Unresponsive;
	leaving.isDraining = true;
	const calls = await applyLoad(hosts, DRAIN_MS + 2500, REQUEST_GAP_MS);
	assert.deepEqual(findLateCalls(calls, leaving).map(({id}) => id), []);
	assert.ok(computeServedRatio(calls) >= 0.98, `${computeServedRatio(calls)} of the calls served`);
});

test('an entry that still says ready does not undo what the worker itself has said', async () => {
	leaving.isDraining = true;
	const load = applyLoad(hosts, DRAIN_MS + 2500, REQUEST_GAP_MS);
	for (let count = 0; count < 8; count++) {
		store.putWorker(leaving.id, leaving.createEntry('ready', leaving.address, born));
		await new Promise(resolve => {
			setTimeout(resolve, 400);
		});
	}

	store.deleteWorker(leaving.id);
	store.putWorker(leaving.id, leaving.createEntry('ready', leaving.address, born));
	assert.deepEqual(findLateCalls(await load, leaving).map(({id}) => id), []);
});

test('a host that has heard of the leaving from another one does not use the worker either', async () => {
	store.mode = FakeStoreMode.Unresponsive;
	leaving.isDraining = true;
	// Only the first host learns it from the worker.
	await applyLoad(hosts.slice(0, 1), 600, REQUEST_GAP_MS);
	const fromMs = Date.now();
	await applyLoad(hosts.slice(1), 1000, REQUEST_GAP_MS);
	assert.deepEqual(leaving.receivedRequests.filter(({atMs}) => atMs >= fromMs), []);
});

test('when all workers of a service are leaving, requests are rejected at once', async () => {
	for (const worker of workers) {
		worker.isDraining = true;
	}

	await applyLoad(hosts, 600, REQUEST_GAP_MS);
	const calls = await applyLoad(hosts, 400, REQUEST_GAP_MS);
	for (const worker of workers) {
		worker.isDraining = false;
		store.putWorker(worker.id, worker.createEntry('ready', worker.address, ++born));
	}

	assert.ok(calls.every(({res}) => res.status === 503 && Number(res.headers['retry-after']) > 0));
	const slowest = Math.max(...calls.map(({sentAtMs, endAtMs}) => endAtMs - sentAtMs));
	assert.ok(slowest < 400, `a rejection took ${slowest} ms`);
	await waitUntil('the workers are used again', async () => (await hosts[0]!.send('/read/x')).status === 200);
});

test('a worker that has started again is used again', async () => {
	leaving.isDraining = true;
	await applyLoad(hosts, 600, REQUEST_GAP_MS);
	leaving.isDraining = false;
	store.putWorker(leaving.id, leaving.createEntry('ready', leaving.address, ++born));
	const before = leaving.receivedRequests.length;
	await applyLoad(hosts, 1500, REQUEST_GAP_MS);
	assert.ok(leaving.receivedRequests.length > before);
});
