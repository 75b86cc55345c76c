import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {FakeStore, createOperatorConfig} from '@apricotwood/platform/standin';
import {RawWorker} from '../fixtures/raw-worker.js';
import {TestEntryHost, freePorts, waitUntil} from '../fixtures/test-entry-host.js';

/** More than a host buffers before it forwards a response, bytes. */
const LONG_BODY_BYTES = 200_000;

const store = new FakeStore();
let host: TestEntryHost;
let executedCount = 0;

/** Runs each request, and answers with the status that its path names, without the statement that it has not run. */
const worker = new RawWorker((socket, _request, head) => {
	const [, status, framing] = /\/(\d{3})-(\w+) /.exec(head) ?? [];
	const id = /request-id: (\w+)/i.exec(head)?.[1];
	if (status === undefined || id === undefined) {
		socket.end('HTTP/1.1 200 OK\r\nInstance-Id: w1\r\nContent-Length: 0\r\n\r\n');
		return;
	}

	executedCount++;
	const body = 'x'.repeat(LONG_BODY_BYTES);
	const signed = `HTTP/1.1 ${status} Busy\r\nRequest-Id: ${id}\r\nServer-Signature: s\r\n`;
	socket.write(framing === 'length'
		? `${signed}Content-Length: ${body.length}\r\n\r\n${body}`
		: `${signed}Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`);
});

before(async () => {
	await store.start();
	store.putConfig(createOperatorConfig(2, ['board']));
	await worker.start();
	store.putWorker('w1', {
		addr: worker.address, born: 1, info: {service: 'board', zone: 'a1', version: 'v1', slots: 4}, status: {state: 'ready', sequence: 1, cold_remaining: '0ms'},
	});
	host = await new TestEntryHost('127.0.0.112', await freePorts(5), store.address).start();
	await waitUntil('the host is ready', () => host.host.isReady && host.host.state.fleet.size === 1);
});

after(async () => {
	await host.stop();
	await worker.stop();
	await store.stop();
});

// REFUSED (found by the fuzz checker, worker part, seeds 1239, 2115 and 2192): a long response was forwarded while it arrived, whatever its status, and told the caller 'not run'.
for (const status of [408, 429, 503]) {
	for (const framing of ['length', 'chunks']) {
		test(`a long ${status} (${framing}) of a worker that has run the request is not forwarded`, async () => {
			executedCount = 0;
			const res = await host.send(`/book/${status}-${framing}`, {method: 'POST', body: 'x'});
			assert.deepEqual({status: res.status, executedCount}, {status: 502, executedCount: 1});
		});
	}
}

test('a long 500 of a worker is forwarded', async () => {
	const res = await host.send('/book/500-length', {method: 'POST', body: 'x'});
	assert.deepEqual({status: res.status, length: res.body.length, isTruncated: res.isTruncated}, {status: 500, length: LONG_BODY_BYTES, isTruncated: false});
});
