import {Buffer} from 'node:buffer';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Crowd, sendRepeatedly} from '../fixtures/crowd.js';
import {MACHINE, PATIENT_LIMITS, testCrowd} from '../fixtures/crowd-test.js';
import {HostProcess} from '../fixtures/host-process.js';
import {waitUntil} from '../fixtures/test-entry-host.js';

const HEAD_START = 'GET /read/x HTTP/1.1\r\nHost: a.example\r\n';
const LONG_VALUE = Buffer.from(`${HEAD_START}X-Long: ${'x'.repeat(250_000)}`);
testCrowd({
	title: 'heads without an end, of 250 KB each',
	connections: 800,
	client(socket) {
		socket.write(LONG_VALUE);
	},
});

const MANY_LINES = Buffer.from(HEAD_START + 'a: b\r\n'.repeat(30_000));
testCrowd({
	title: 'heads of many short lines without an end',
	connections: 400,
	client(socket) {
		socket.write(MANY_LINES);
	},
});

/** Bytes after which a host must have stopped reading what is no request; far beyond `max_header_bytes` and what the kernel holds of a connection. */
const MAX_ENDLESS_BYTES = 256 * 1024 * 1024;
const BLOCK_BYTES = 64 * 1024;
const ENDLESS: ReadonlyArray<readonly [title: string, start: string, repeated: Buffer]> = [
	['empty lines before a request', '', Buffer.alloc(BLOCK_BYTES, '\r\n')],
	['a header line', `${HEAD_START}X-Long: `, Buffer.alloc(BLOCK_BYTES, 'x')],
	['header lines', HEAD_START, Buffer.alloc(BLOCK_BYTES, 'a: b\r\n')],
];
for (const [title, start, repeated] of ENDLESS) {
	test(`a client that sends without an end is closed, and others are served: ${title}`, async t => {
		const host = new HostProcess(MACHINE, PATIENT_LIMITS);
		t.after(async () => host.stop());
		await host.start();
		let sending: Promise<void> | undefined;
		const crowd = await Crowd.open(host.callerAddress, 1, socket => {
			socket.write(start);
			sending = sendRepeatedly(socket, repeated, MAX_ENDLESS_BYTES);
		});
		t.after(() => {
			crowd.dismiss();
		});
		await sending;
		assert.equal(crowd.closed, 1, 'the host reads on');
		await waitUntil('an ordinary request is answered', async () => await host.request() === 200);
	});
}
