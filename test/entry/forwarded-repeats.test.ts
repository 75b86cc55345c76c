import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {FakeWorker, WorkerFault} from '@apricotwood/platform/standin';
import {Partition, PartitionConnector} from '../fixtures/partition-connector.js';
import {TestCluster} from '../fixtures/test-cluster.js';
import {waitUntil} from '../fixtures/test-entry-host.js';

/** The first host loses the workers. */
const ZONES = ['a1', 'a1', 'a1', 'a1'];
const REQUESTS = 400;
const REQUEST_GAP_MS = 10;
/** As the test hosts are set up: bounds on the repeats of all hosts together, as a ratio of the requests and in addition. */
const RETRY_RATIO = 0.2;
const EXTRA_RETRIES = 60;
const RETRY_WINDOW_MS = 10_000;

const workers = Array.from({length: 8}, (_, index) => new FakeWorker(`w${index}`, 'board'));
const connectors = ZONES.map(() => new PartitionConnector());
const cluster = new TestCluster({
	firstOctet: 141, zones: ZONES, workers, connectors: connectors.map(({connect}) => connect),
});

/** Most arrivals at workers in any window beyond the first of each request. */
function countRepeats(): number {
	const seenIds = new Set<string>();
	const repeatsAtMs: number[] = [];
	for (const {id, headAtMs} of workers.flatMap(({receivedRequests}) => receivedRequests).toSorted((a, b) => a.headAtMs - b.headAtMs)) {
		if (seenIds.has(id)) {
			repeatsAtMs.push(headAtMs);
		}

		seenIds.add(id);
	}

	return Math.max(0, ...repeatsAtMs.map(startMs => repeatsAtMs.filter(atMs => atMs >= startMs && atMs < startMs + RETRY_WINDOW_MS).length));
}

before(async () => {
	await cluster.start();
});

after(async () => {
	await cluster.stop();
});

// BUDGET: a request that one host had sent to a worker in vain was passed on to the next one, in nobody's retry budget.
test('requests that an isolated host passes on reach workers again within the retry budget only', async () => {
	const [isolated] = cluster.hosts;
	connectors[0]!.begin(Partition.Reset);
	await waitUntil('the host passes requests on', async () => {
		await isolated!.send('/book/x', {method: 'POST', body: 'a booking'});
		return isolated!.logLines.some(({event, attempts}) => event === 'request' && (attempts as Array<{readonly why: string}>).some(({why}) => why === 'forward'));
	});
	for (const worker of workers) {
		worker.fault = WorkerFault.Reject;
		worker.receivedRequests.length = 0;
	}

	const replies = [];
	for (let index = 0; index < REQUESTS; index++) {
		replies.push(isolated!.send('/book/x', {method: 'POST', body: 'a booking', headers: {'affinity-key': String(index)}}));
		await pause(REQUEST_GAP_MS);
	}

	await Promise.all(replies);
	const repeats = countRepeats();
	assert.ok(repeats <= (RETRY_RATIO * REQUESTS) + EXTRA_RETRIES, `${repeats} repeats of ${REQUESTS} requests`);
});
