import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {after, before, test} from 'node:test';
import {sendRepeatedly} from '../fixtures/crowd.js';
import {listInvalidHeads} from '../fixtures/invalid-heads.js';
import {RawWorker} from '../fixtures/raw-worker.js';
import {
	Rig, sendRequest, waitUntil, type TestResponse,
} from '../fixtures/rig.js';

/** Upper bound of the bytes that one response without end may get rid of: the kernel's buffers on both sides and what the host reads. */
const MAX_SENT_BYTES = 16 * 1024 * 1024;
const SOUND = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';
const NOT_FOUND = 'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n';

type Respond = (socket: Socket) => unknown;

let respond: Respond;
let respondToProbe: Respond;
const worker = new RawWorker((socket, _request, head) => {
	(head.startsWith('GET /load') ? respondToProbe : respond)(socket);
});
let rig: Rig;

before(async () => {
	respondToProbe = socket => socket.write(NOT_FOUND);
	await worker.start();
	rig = await Rig.start({
		settings: {request: {stallMs: 1000}},
		change(agreement) {
			const port = Number(worker.address.split(':')[1]);
			agreement.workers = agreement.workers!.map(row => (row as {service: string}).service === 'desk' ? {...row as object, port} : row);
		},
	});
});

after(async () => {
	await rig.stop();
	await worker.stop();
});

async function sendToWorker(): Promise<TestResponse> {
	return sendRequest(rig.port, {method: 'POST', path: '/s/desk/a', headers: {'apricotwood-member': 'club'}});
}

/** Waits until the worker is no longer suspect, and serves a request. */
async function recover(): Promise<void> {
	respond = socket => socket.write(SOUND);
	await waitUntil(async () => (await sendToWorker()).status === 200);
}

// MIXED: callers got responses with the status 000, and with blanks or control characters in the names of their headers.
test('daemon: a head that is not valid reaches no caller', {timeout: 100_000}, async () => {
	const passedOn: string[] = [];
	for (const {name, bytes} of listInvalidHeads('').filter(({name}) => /^(?:status|" "|"\\u0001")/.test(name))) {
		await recover();
		respond = socket => socket.end(Buffer.from(bytes, 'latin1'));
		const {status} = await sendToWorker();
		if (status !== 502) {
			passedOn.push(`${name}: ${status}`);
		}
	}

	assert.deepEqual(passedOn, []);
});

// MIXED: the coding "gzip" does not delimit a body, so that a part of it looked whole when its connection had ended.
test('daemon: a response whose coding does not delimit its body is not taken for whole', async () => {
	await recover();
	respond = socket => socket.end('HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\npart');
	const {status, body} = await sendToWorker();
	assert.equal(status, 502, body);
	assert.match(body, /upstream-unframed/);
});

// A faulty worker sent bytes without end; the host kept them all and ran out of memory.
for (const [name, start, part] of [
	['a report', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', `186a0\r\n${' '.repeat(100_000)}\r\n`],
	['a report without a length', 'HTTP/1.1 200 OK\r\n\r\n', ' '.repeat(100_000)],
	['a report in chunks of one byte', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', '1\r\n \r\n'.repeat(10_000)],
] as const) {
	test(`daemon: ${name} of a worker's load that does not end is read no further`, async () => {
		await recover();
		const sent: number[] = [];
		respondToProbe = socket => {
			socket.write(start);
			void sendRepeatedly(socket, part, Infinity);
			socket.once('close', () => {
				sent.push(socket.bytesWritten);
			});
		};

		await waitUntil(() => sent.length > 1);
		respondToProbe = socket => socket.write(NOT_FOUND);
		assert.ok(Math.max(...sent) < MAX_SENT_BYTES, `${Math.max(...sent)} bytes were sent`);
		assert.equal((await sendToWorker()).status, 200);
	});
}
