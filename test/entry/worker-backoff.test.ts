import assert from 'node:assert/strict';
import {
	after, afterEach, before, test,
} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {FakeWorker} from '@apricotwood/platform/standin';
import {applyLoad, computeServedRatio, type LoadCall} from '../fixtures/cluster-load.js';
import {TestCluster} from '../fixtures/test-cluster.js';
import {waitUntil} from '../fixtures/test-entry-host.js';

/** Time after a response with `Retry-After` from which requests count, ms. */
const GRACE_MS = 500;
/** Requests that may reach the worker from one host between then and the end of the time, health checks included. */
const MAX_REQUESTS = 2;
const RETRY_AFTER_MS = 2500;
const REQUEST_GAP_MS = 15;

const workers = [new FakeWorker('w1', 'board'), new FakeWorker('w2', 'board', 'a2'), new FakeWorker('w3', 'board', 'b1')];
for (const worker of workers) {
	worker.processingMs = 20;
}

const resting = workers[0]!;
const cluster = new TestCluster({firstOctet: 66, zones: ['a1', 'a2', 'b1'], workers});
const {hosts} = cluster;

/** Largest number of requests that reached the worker from one host in the time for which it had told this host to wait. */
function countTooEarly(calls: readonly LoadCall[], worker: FakeWorker): number {
	const hostById = new Map(calls.map(({id, host}) => [id, host]));
	let most = 0;
	for (const [host] of hosts.entries()) {
		const arrivals = worker.receivedRequests.filter(({id}) => hostById.get(id) === host).map(({atMs}) => atMs);
		for (const atMs of arrivals) {
			most = Math.max(most, arrivals.filter(other => other >= atMs + GRACE_MS && other < atMs + RETRY_AFTER_MS).length);
		}
	}

	return most;
}

before(async () => {
	await cluster.start();
	await applyLoad(hosts, 500, REQUEST_GAP_MS);
});

after(async () => {
	await cluster.stop();
});

afterEach(async () => {
	for (const worker of workers) {
		worker.retryAfter = undefined;
	}

	await waitUntil('all workers are used', async () => {
		const counts = workers.map(({executedRequests}) => executedRequests.length);
		await applyLoad(hosts, 200, REQUEST_GAP_MS);
		return workers.every(({executedRequests}, index) => executedRequests.length > counts[index]!);
	});
});

// BUDGET: a worker had asked a host to wait for 3 s, and got 10 requests from it in that time.
test('a worker that says after which time to retry gets no requests from that host before', async () => {
	resting.retryAfter = String(RETRY_AFTER_MS / 1000);
	const calls = await applyLoad(hosts, 2 * RETRY_AFTER_MS, REQUEST_GAP_MS);
	const most = countTooEarly(calls, resting);
	assert.ok(most <= MAX_REQUESTS, `${most} requests from one host in the time for which the worker had told it to wait`);
	assert.deepEqual(resting.healthChecks, []);
	assert.ok(computeServedRatio(calls) >= 0.98, `${computeServedRatio(calls)} of the calls served`);
});

test('a request that a worker has rejected with a time to retry is not sent to it again', async () => {
	const received = resting.receivedRequests.length;
	resting.retryAfter = '1';
	// Some hosts may still wait because of the test before.
	await waitUntil('several requests have been rejected', async () => {
		await applyLoad(hosts, 100, REQUEST_GAP_MS);
		return resting.receivedRequests.length >= received + 3;
	});
	const ids = resting.receivedRequests.slice(received).map(({id}) => id);
	assert.equal(new Set(ids).size, ids.length);
});

test('when all workers of a service have told the host to wait, requests are rejected at once with the time of the first one', async () => {
	for (const worker of workers) {
		worker.retryAfter = '3';
	}

	await applyLoad(hosts, 500, REQUEST_GAP_MS);
	await pause(300);
	const calls = await applyLoad(hosts, 500, REQUEST_GAP_MS);
	assert.ok(calls.every(({res}) => res.status === 503 && Number(res.headers['retry-after']) > 0));
	// On a slow machine a host may take a worker for too slow and not ask it, so that it has not been told.
	const told = calls.filter(({res}) => res.body.includes('"error":"backoff"'));
	assert.ok(told.length > 0);
	// Callers wait for a third of their time at most, which is 0.47 s here.
	assert.deepEqual(told.filter(({res}) => Number(res.headers['retry-after']) < 0.4), []);
	const slowest = Math.max(...calls.map(({sentAtMs, endAtMs}) => endAtMs - sentAtMs));
	assert.ok(slowest < 400, `a rejection took ${slowest} ms`);
});

test('after the time to retry each host sends one request first, not all that wait', async () => {
	resting.retryAfter = '1';
	const load = applyLoad(hosts, 3200, REQUEST_GAP_MS);
	await pause(600);
	const received = resting.receivedRequests.length;
	const fromMs = Date.now();
	await pause(2000);
	const arrivals = resting.receivedRequests.slice(received).filter(({atMs}) => atMs < fromMs + 2000).length;
	await load;
	// At most three turns a host in 2 s, as each starts another second.
	assert.ok(arrivals <= hosts.length * 3, `${arrivals} requests in 2 s`);
	assert.ok(arrivals > 0);
});
