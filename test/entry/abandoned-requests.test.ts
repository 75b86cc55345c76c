import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {after, before, test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {FakeWorker} from '@apricotwood/platform/standin';
import {TestCluster} from '../fixtures/test-cluster.js';
import type {HttpResponse, TestEntryHost} from '../fixtures/test-entry-host.js';

const ZONES = ['a1', 'a2', 'b1'];
/** Crashes after which the platform allows a request three more arrivals, counted from `CONTACT_MS` later. */
const MAX_CRASHES = 3;
const MAX_LATER_ARRIVALS = 3;
const CONTACT_MS = 3000;
/** Time for which a worker runs the crashing request before it ends, ms; longer than its callers wait. */
const CRASH_DELAY_MS = 1200;
/** Time after which callers leave, ms. */
const PATIENCE_MS = 200;
/** Time between two arrivals of the crashing request at some host, ms. */
const CRASH_GAP_MS = 500;
const RESTART_MS = 1500;

const workers = Array.from({length: 12}, (_, index) => new FakeWorker(`w${index}`, 'board', ZONES[index % ZONES.length]));
const cluster = new TestCluster({firstOctet: 81, zones: [...ZONES, ZONES[0]!], workers});
const {hosts, store} = cluster;
for (const worker of workers) {
	worker.processingMs = 20;
	worker.crashingUrl = 'crash';
	worker.crashDelayMs = CRASH_DELAY_MS;
	worker.restartMs = RESTART_MS;
	worker.onCrash = () => () => {
		store.putWorker(worker.id, worker.createEntry('ready', worker.address, Date.now()));
	};
}

/** Sends a request and closes the connection after a time, whatever has arrived. */
async function sendAndLeave({settings}: TestEntryHost, path: string, id: string, leaveAfterMs: number): Promise<void> {
	const [ip, port] = settings.entry.self.callerAddress.split(':');
	const socket = connect(Number(port), ip);
	socket.on('error', () => {});
	socket.write(`GET ${path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ${id}\r\nRequest-Deadline-Ms: 1400\r\n\r\n`);
	await pause(leaveAfterMs);
	socket.destroy();
}

/** Lists arrivals of a request at workers later than the platform allows without limit. */
function listLateArrivals(path: string): number[] {
	const crashes = workers.flatMap(worker => worker.crashes).toSorted((a, b) => a - b);
	assert.ok(crashes.length >= MAX_CRASHES, `${crashes.length} crashes`);
	const fromMs = crashes[MAX_CRASHES - 1]! + CONTACT_MS;
	return workers.flatMap(({executedRequests}) => executedRequests).filter(({url, atMs}) => url === path && atMs > fromMs).map(({atMs}) => atMs - fromMs);
}

before(async () => {
	await cluster.start();
	// The hosts learn how long requests take.
	for (let index = 0; index < 40; index++) {
		await hosts[index % hosts.length]!.send(`/read/${index}`);
	}
});

after(async () => {
	await cluster.stop();
});

// BUDGET: review/5, where workers crash after the host has given the attempt up.
test('a request that crashes workers after its callers have left is not sent on once three have crashed', async () => {
	const path = '/read/crash';
	const sent: Array<Promise<void>> = [];
	const endMs = performance.now() + CONTACT_MS + 6000;
	for (let index = 0; performance.now() < endMs; index++) {
		sent.push(sendAndLeave(hosts[index % hosts.length]!, path, `left${index}`, PATIENCE_MS));
		await pause(CRASH_GAP_MS);
	}

	await Promise.all(sent);
	const late = listLateArrivals(path);
	assert.ok(late.length <= MAX_LATER_ARRIVALS, `${late.length} arrivals later than ${CONTACT_MS} ms after the third crash`);
	await pause(RESTART_MS);
});

test('a request that many give up while workers crash of another cause is never refused as the cause', async () => {
	const served: Array<Promise<HttpResponse>> = [];
	const left: Array<Promise<void>> = [];
	const endMs = performance.now() + 4200;
	const isSending = () => performance.now() < endMs;
	const crashes = (async () => {
		for (let index = 0; isSending(); index++) {
			workers[index % workers.length]!.crash();
			await pause(300);
		}
	})();
	for (let index = 0; isSending(); index++) {
		const host = hosts[index % hosts.length]!;
		if (index % 3 === 0) {
			left.push(sendAndLeave(host, '/read/popular', `popular${index}`, 10));
		} else {
			served.push(host.send('/read/popular'));
		}

		await pause(10);
	}

	await Promise.all([crashes, ...left]);
	const replies = await Promise.all(served);
	assert.deepEqual(replies.filter(({body}) => /quarantined|suspect/.test(body)), []);
	assert.ok(replies.filter(({status}) => status === 200).length >= replies.length * 0.8);
});
