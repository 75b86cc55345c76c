import assert from 'node:assert/strict';
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';
import process from 'node:process';
import {after, before, test} from 'node:test';
import {RawWorker} from '../fixtures/raw-worker.js';
import {Rig, sendRequest} from '../fixtures/rig.js';

/** Time for which each write to a caller is held back, in which the worker has long closed, ms. */
const PAUSE_MS = 30;
const BODY_BYTES = 300_000;

const exceptions: Error[] = [];
const recordException = (error: Error) => {
	exceptions.push(error);
};

let isReset = false;
let lines = '';
let isChunked = false;
const worker = new RawWorker(socket => {
	const bytes = isReset ? BODY_BYTES - 1 : BODY_BYTES;
	const body = 'x'.repeat(bytes);
	const response = `HTTP/1.1 200 OK\r\n${lines}\r\n${isChunked ? `${bytes.toString(16)}\r\n${body}\r\n${isReset ? '' : '0\r\n\r\n'}` : body}`;
	if (!isReset) {
		socket.end(response);
		return;
	}

	socket.write(response, () => {
		setTimeout(() => {
			socket.resetAndDestroy();
		}, PAUSE_MS / 2);
	});
});
let rig: Rig;

before(async () => {
	process.on('uncaughtException', recordException);
	await worker.start();
	const [address, port] = worker.address.split(':');
	rig = await Rig.start({
		change(agreement) {
			for (const entry of agreement.workers as Array<Record<string, unknown>>) {
				entry.address = address;
				entry.port = Number(port);
			}
		},
	});
});

after(async () => {
	process.off('uncaughtException', recordException);
	await rig.stop();
	await worker.stop();
});

/** Socket of a host whose writes to the network are held back, as those to a slow caller. */
type HeldSocket = Socket & {_writeGeneric: (...args: unknown[]) => void};

function holdBackWrites(message: unknown): void {
	const {socket} = message as {socket: HeldSocket};
	if (socket.localPort !== rig.port) {
		return;
	}

	const write = socket._writeGeneric.bind(socket);
	socket._writeGeneric = (...args) => {
		setTimeout(() => {
			write(...args);
		}, PAUSE_MS);
	};
}

const LENGTH = `Content-Length: ${BODY_BYTES}\r\n`;
const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const CLOSE = 'Connection: close\r\n';

for (const form of [LENGTH, CLOSE + LENGTH, CHUNKED, CLOSE + CHUNKED]) {
	// A worker that closed or reset the connection of a paused response ended the process by an assertion of the HTTP client.
	test(`a response to a slow caller is whole if its worker closes after it, and cut if it resets before its end: ${form.replaceAll('\r\n', ' ').trim()}`, async () => {
		lines = form;
		isChunked = form.includes(CHUNKED);
		subscribe('net.server.socket', holdBackWrites);
		isReset = false;
		const whole = await sendRequest(rig.port, {path: '/s/board/x', headers: {'apricotwood-member': 'club'}});
		isReset = true;
		const cut = await sendRequest(rig.port, {path: '/s/board/x', headers: {'apricotwood-member': 'club'}});
		unsubscribe('net.server.socket', holdBackWrites);
		assert.deepEqual([whole.status, whole.isWhole, whole.body.length], [200, true, BODY_BYTES]);
		assert.equal(cut.isWhole, false);
		assert.deepEqual(exceptions.splice(0), []);
	});
}
