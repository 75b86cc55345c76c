import assert from 'node:assert/strict';
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {connect, type Socket} from 'node:net';
import {
	after, afterEach, before, beforeEach, test,
} from 'node:test';
import {SystemClock} from '@apricotwood/clock';
import {
	Connection, Exchange, ExchangeEnd, type ExchangeResult,
} from '@apricotwood/entry';
import {PlatformHeaderCodec} from '@apricotwood/platform';
import {FakeStore, createOperatorConfig} from '@apricotwood/platform/standin';
import {RawWorker} from '../fixtures/raw-worker.js';
import {TestEntryHost, freePorts, waitUntil} from '../fixtures/test-entry-host.js';

/** Time for which a paused reader takes nothing, in which the worker has long closed, ms. */
const PAUSE_MS = 60;
const BODY_BYTES = 300_000;
/** Size of the response to a health check, which is read and dropped, bytes. */
const CHECK_BYTES = 120_000;
const SIGNED_HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Signature: s\r\n';

type Form = {
	readonly name: string;
	readonly lines: string;
	readonly isChunked?: boolean;
};

const FORMS: readonly Form[] = [
	{name: 'without a length', lines: ''},
	{name: 'without a length, with Connection: close', lines: 'Connection: close\r\n'},
	{name: 'with a length and Connection: close', lines: `Connection: close\r\nContent-Length: ${BODY_BYTES}\r\n`},
	{name: 'in chunks and with Connection: close', lines: 'Connection: close\r\nTransfer-Encoding: chunked\r\n', isChunked: true},
	{name: 'with a length, on a kept connection', lines: `Content-Length: ${BODY_BYTES}\r\n`},
];

/** Runs an exchange whose reader pauses after each part that it gets. */
async function runPaused(address: string): Promise<{readonly result: ExchangeResult; readonly bytes: number}> {
	let bytes = 0;
	const connection = new Connection(address);
	const result = await new Exchange(connection, {
		method: 'GET', path: '/a/', headers: ['Host', 'a.example', 'Request-Id', 'r1'], body: undefined, requestId: 'r1',
	}, new PlatformHeaderCodec(), {
		start() {},
		write(chunk, resume) {
			bytes += chunk.length;
			setTimeout(resume, PAUSE_MS);
			return false;
		},
	}, new SystemClock()).run();
	connection.close();
	return {result, bytes};
}

function encode(body: string, isChunked = false): string {
	return isChunked ? `${body.length.toString(16)}\r\n${body}\r\n` : body;
}

for (const {name, lines, isChunked} of FORMS) {
	// A worker that closed the connection of a paused response ended the process by an assertion of the HTTP client.
	test(`a response that is paused as its worker closes arrives whole: ${name}`, async () => {
		const worker = await new RawWorker(socket => {
			socket.end(`${SIGNED_HEAD}${lines}\r\n${encode('x'.repeat(BODY_BYTES), isChunked)}${isChunked ? '0\r\n\r\n' : ''}`);
		}).start();
		const {result, bytes} = await runPaused(worker.address);
		assert.equal(result.end, ExchangeEnd.Streamed, result.message);
		assert.equal(bytes, BODY_BYTES);
		await worker.stop();
	});

	test(`a response that is paused as its worker resets the connection is cut: ${name}`, async () => {
		const worker = await new RawWorker(socket => {
			socket.write(`${SIGNED_HEAD}${lines}\r\n${encode('x'.repeat(BODY_BYTES - 1), isChunked)}`, () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, PAUSE_MS / 2);
			});
		}).start();
		const {result} = await runPaused(worker.address);
		assert.equal(result.end, ExchangeEnd.Truncated, result.message);
		await worker.stop();
	});
}

const store = new FakeStore();
let respond: (socket: Socket, head: string) => void = () => {};
const worker = new RawWorker((socket, _request, head) => {
	respond(socket, head);
});
let ports: number[] = [];
let host: TestEntryHost;

before(async () => {
	await store.start();
	store.putConfig(createOperatorConfig(2, ['board'], [
		['film', 'a.example', '/film/', 'idempotent', null, '9s', 1, 'board', 1, false, [], null],
		['mute', 'a.example', '/mute/', 'idempotent', null, '100ms', 1, 'board', 1, false, [], null],
	]));
	await worker.start();
	store.putWorker('w1', {
		addr: worker.address, born: 1, info: {service: 'board', zone: 'a1', version: 'v1', slots: 4}, status: {state: 'ready', sequence: 1, cold_remaining: '0ms'},
	});
	ports = await freePorts(5);
});

after(async () => {
	await worker.stop();
	await store.stop();
});

beforeEach(async () => {
	host = await new TestEntryHost('127.0.0.81', ports, store.address).start();
	await waitUntil('the host is ready', () => host.host.isReady && host.host.state.fleet.size === 1);
});

afterEach(async () => {
	await host.stop();
});

/** Sends a request. @returns the number of bytes that arrive, and whether the connection was reset. */
async function request(id: string): Promise<{readonly bytes: number; readonly wasReset: boolean}> {
	const [ip, port] = host.settings.entry.self.callerAddress.split(':');
	const socket = connect({host: ip!, port: Number(port)});
	let bytes = 0;
	let wasReset = false;
	socket.write(`GET /film/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ${id}\r\nRequest-Deadline-Ms: 9000\r\nConnection: close\r\n\r\n`);
	socket.on('data', chunk => {
		bytes += chunk.length;
	});
	socket.on('error', () => {
		wasReset = true;
	});
	await new Promise(resolve => {
		socket.on('close', resolve);
	});
	return {bytes, wasReset};
}

/** Socket of a host whose writes to the network are held back, as those to a slow caller. */
type HeldSocket = Socket & {_writeGeneric: (...args: unknown[]) => void};

/** Holds back each write of the host to its callers. */
function holdBackWrites(message: unknown): void {
	const {socket} = message as {socket: HeldSocket};
	if (socket.localPort !== ports[1]) {
		return;
	}

	const write = socket._writeGeneric.bind(socket);
	socket._writeGeneric = (...args) => {
		setTimeout(() => {
			write(...args);
		}, PAUSE_MS);
	};
}

for (const lines of ['', 'Connection: close\r\n', `Connection: close\r\nContent-Length: ${BODY_BYTES}\r\n`]) {
	test(`a host serves slow callers of a worker that closes after each response: ${lines.trim() || 'no length'}`, async () => {
		respond = (socket, head) => {
			socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: ${/request-id: (\S+)/i.exec(head)?.[1]}\r\nServer-Signature: s\r\n${lines}\r\n${'x'.repeat(BODY_BYTES)}`);
		};

		subscribe('net.server.socket', holdBackWrites);
		const received = await Promise.all(['s1', 's2', 's3', 's4'].map(async id => request(id)));
		unsubscribe('net.server.socket', holdBackWrites);
		for (const {bytes, wasReset} of received) {
			assert.equal(wasReset, false);
			assert.ok(bytes > BODY_BYTES, `${bytes} bytes`);
		}
	});
}

test('a host checks a worker that closes a long response to a health check', async () => {
	respond = (socket, head) => {
		if (!head.includes('/mute/')) {
			socket.end(`HTTP/1.1 200 OK\r\nInstance-Id: w1\r\n\r\n${'x'.repeat(CHECK_BYTES)}`);
		}
	};

	await host.send('/mute/x');
	await waitUntil('the worker was checked', () => host.logLines.some(({event}) => event === 'check'));
	assert.equal(host.logLines.find(({event}) => event === 'check')?.isGood, true);
	assert.equal(host.metrics.snapshot()['upstream.exceptions'], undefined);
});
