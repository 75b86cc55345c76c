import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {
	after, afterEach, before, beforeEach, test,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {wasResetAtEnd} from '@apricotwood/entry';
import {RawWorker} from '../fixtures/raw-worker.js';
import {Rig, waitUntil} from '../fixtures/rig.js';

const GRACE_MS = 1600;
/** Size of the part of a response that arrives before it is cut, bytes: more than the buffers between host and caller hold. */
const LONG_BYTES = 8_000_000;
const SHORT_BYTES = 1000;

/** What arrived at a caller, and how its connection ended. */
type Received = {readonly bytes: number; readonly wasReset: boolean};

let bytesBeforeCut = SHORT_BYTES;
let cut: () => void = () => {};
const worker = new RawWorker((socket, _request, head) => {
	if (head.startsWith('GET /load')) {
		socket.write('HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n');
		return;
	}

	socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${bytesBeforeCut.toString(16)}\r\n${'x'.repeat(bytesBeforeCut)}\r\n`);
	cut = () => {
		socket.destroy();
	};
});
let rig: Rig;

before(async () => {
	await worker.start();
});

after(async () => {
	await worker.stop();
});

beforeEach(async () => {
	rig = await Rig.start({
		settings: {request: {stallMs: 60_000}, shutdown: {graceMs: GRACE_MS}},
		change(agreement) {
			const port = Number(worker.address.split(':')[1]);
			agreement.workers = agreement.workers!.map(row => (row as {service: string}).service === 'board' ? {...row as object, port} : row);
		},
	});
});

afterEach(async () => rig.stop());

/** How a response breaks off: what happens, the deadline of the request, ms, and what lets it happen. */
const BREAKS: ReadonlyArray<readonly [string, number, () => void]> = [
	['the worker breaks off', 1900, () => {
		cut();
	}],
	['is under way at the deadline', 400, () => {}],
];

type CallerOptions = {
	/** Whether the caller begins to read only when it is told so. */
	readonly isSlow?: boolean;
	readonly deadlineMs?: number;
};

/** Sends a request whose response has no length. */
function request(version: string, {isSlow = false, deadlineMs = 1900}: CallerOptions = {}): {readonly socket: Socket; readonly received: Promise<Received>} {
	const socket = connect({port: rig.port, host: '127.0.0.1', allowHalfOpen: true});
	socket.write(`GET /s/board/cut HTTP/${version}\r\nHost: x\r\nApricotwood-Member: club\r\nApricotwood-Deadline-Ms: ${deadlineMs}\r\n\r\n`);
	let wasReset = false;
	if (isSlow) {
		socket.pause();
	} else {
		socket.resume();
	}

	socket.on('error', () => {
		wasReset = true;
	});
	socket.on('end', () => {
		void wasResetAtEnd(socket).then(isReset => {
			wasReset ||= isReset;
			socket.destroy();
		});
	});
	return {
		socket, received: new Promise(resolve => {
			socket.on('close', () => {
				resolve({bytes: socket.bytesRead, wasReset});
			});
		}),
	};
}

// A response to HTTP/1.0 ends with its connection, so that one that was cut looks complete after a regular end.
for (const version of ['1.0', '1.1']) {
	test(`a response that is under way when its host ends is reset: HTTP/${version}`, async () => {
		bytesBeforeCut = SHORT_BYTES;
		const {socket, received} = request(version);
		await waitUntil(() => socket.bytesRead > SHORT_BYTES);
		await rig.stopHost(0);
		assert.equal((await received).wasReset, true);
	});

	test(`a response that a slow caller has not read when its host ends is reset, and nothing is sent after that: HTTP/${version}`, async () => {
		bytesBeforeCut = LONG_BYTES;
		const {socket, received} = request(version, {isSlow: true});
		await delay(300);
		const stopped = rig.stopHost(0);
		await waitUntil(() => rig.logLines.some(({event}) => event === 'cut'));
		socket.resume();
		const {bytes, wasReset} = await received;
		await stopped;
		assert.equal(wasReset, true);
		assert.ok(bytes < LONG_BYTES);
	});

	for (const [name, deadlineMs, breakOff] of BREAKS) {
		test(`a response that ${name} does not look complete: HTTP/${version}`, async () => {
			bytesBeforeCut = SHORT_BYTES;
			const {socket, received} = request(version, {deadlineMs});
			let text = '';
			socket.on('data', chunk => {
				text += String(chunk);
			});
			await waitUntil(() => text.includes('x'.repeat(SHORT_BYTES)));
			breakOff();
			const {wasReset} = await received;
			// The last chunk of a chunked response ends it; HTTP/1.0 has none.
			assert.equal(wasReset || (version === '1.1' && /\r\ntransfer-encoding: chunked\r\n/i.test(text) && !text.includes('\r\n0\r\n')), true);
		});
	}
}
