import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {after, before, test} from 'node:test';
import {listInvalidHeads} from '../fixtures/invalid-heads.js';
import {RawWorker} from '../fixtures/raw-worker.js';
import {
	Rig, sendRequest, waitUntil, type TestResponse,
} from '../fixtures/rig.js';

const SOUND = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';
const NOT_FOUND = 'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n';

type Respond = (socket: Socket) => void;

let respond: Respond;
const worker = new RawWorker((socket, _request, head) => {
	if (head.startsWith('GET /load')) {
		socket.write(NOT_FOUND);
	} else {
		respond(socket);
	}
});
let rig: Rig;

before(async () => {
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
