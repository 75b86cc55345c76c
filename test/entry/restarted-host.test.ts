import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {RawWorker} from '../fixtures/raw-worker.js';
import {waitUntil, type TestEntryHost} from '../fixtures/test-entry-host.js';
import {TestHostSetup} from '../fixtures/test-host-setup.js';

const IP = '127.0.0.97';
const REQUESTS = 5;

/** Creates a worker that sheds all requests. */
function createSheddingWorker(): RawWorker {
	return new RawWorker((socket, _request, head) => {
		socket.write(`HTTP/1.1 503 Busy\r\nRequest-Id: ${/request-id: (\S+)/i.exec(head)![1]}\r\nServer-Signature: s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
	});
}

const workers = [createSheddingWorker(), createSheddingWorker()] as const;
const setup = new TestHostSetup({worker: workers[0]});

before(async () => {
	await workers[1].start();
	await setup.start();
	setup.store.putWorker('w2', workers[1].entry);
});

after(async () => {
	await setup.stop();
	await workers[1].stop();
});

/** Sends requests one after another. @returns the number that arrived at the workers. */
async function countArrivals(host: TestEntryHost): Promise<number> {
	const count = () => workers.reduce((sum, {requestHeads}) => sum + requestHeads.filter(head => head.startsWith('GET /read/')).length, 0);
	const before = count();
	for (let sent = 0; sent < REQUESTS; sent++) {
		const {status} = await host.send('/read/x');
		assert.equal(status, 503);
	}

	return count() - before;
}

async function startHost(): Promise<TestEntryHost> {
	const host = await setup.startHost(IP);
	await waitUntil('the host is registered', () => host.logLines.some(({event}) => event === 'registered'));
	await waitUntil('both workers are known', () => host.host.state.fleet.get('w2') !== undefined);
	return host;
}

// BUDGET (review/9): the retry budget began anew when hosts were killed.
test('a host that starts for the first time retries at once; one that starts again does not repeat what its earlier process may have sent', async () => {
	const first = await startHost();
	assert.ok(await countArrivals(first) > REQUESTS, 'the first start retries');
	await first.stop();
	const second = await startHost();
	assert.equal(await countArrivals(second), REQUESTS);
	assert.deepEqual([first, second].map(({logLines}) => logLines.find(({event}) => event === 'registered')!.hasEarlierStart), [false, true]);
});

test('a host whose registration is repeated after a lost response was not started before', async () => {
	setup.store.dropsWriteResponses = true;
	const host = await setup.beginHost('127.0.0.98');
	await waitUntil('a registration has failed', () => host.logLines.some(({event}) => event === 'register-failed'));
	setup.store.dropsWriteResponses = false;
	await waitUntil('the host is registered', () => host.logLines.some(({event}) => event === 'registered'));
	assert.equal(host.logLines.find(({event}) => event === 'registered')!.hasEarlierStart, false);
});
