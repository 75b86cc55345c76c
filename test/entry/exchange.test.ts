import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import process from 'node:process';
import {test} from 'node:test';
import {SystemClock} from '@apricotwood/clock';
import {
	Connection, Exchange, ExchangeEnd, resetSocket, wasResetAtEnd, type ExchangeListener, type ResponseHead, type ResponseSink, type ExchangeRequest, type ExchangeResult,
} from '@apricotwood/entry';
import {PlatformHeaderCodec} from '@apricotwood/platform';
import {addressOf, listen} from '@apricotwood/platform/standin';
import {RawWorker} from '../fixtures/raw-worker.js';

const NOOP_SINK: ResponseSink = {start() {}, write: () => true};
const OK_HEAD = 'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Signature: s\r\n';
const CHUNKS = 'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n';
const SHED_RESPONSE = 'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n';
const MISDIRECTED_RESPONSE = 'HTTP/1.1 421 Other\r\nInstance-Id: i\r\nContent-Length: 0\r\n\r\n';
const MISMATCHED_RESPONSE = 'HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nServer-Signature: s\r\nContent-Length: 4\r\n\r\nbody';

/** Upper bound of the bytes in the receive buffers of a worker that reads nothing; the send buffers of this host hold several times as much. */
const MAX_RECEIVED_BYTES = 1024 * 1024;

async function runExchange(connection: Connection, fields: Partial<ExchangeRequest> = {}, listener?: ExchangeListener): Promise<ExchangeResult> {
	return new Exchange(connection, {
		method: 'GET', path: '/a/', headers: ['Host', 'a.example', 'Request-Id', 'r1'], body: undefined, requestId: 'r1', ...fields,
	}, new PlatformHeaderCodec(), NOOP_SINK, new SystemClock(), listener).run();
}

type ExchangeCase = {
	readonly name: string;
	readonly respond: (socket: Socket) => unknown;
	readonly end: ExchangeEnd;
	readonly isReusable?: boolean;
	readonly mayHaveRun?: boolean;
	readonly body?: string;
};

const EXCHANGE_CASES: readonly ExchangeCase[] = [
	{name: 'a complete response with a length', respond: socket => socket.write(`${OK_HEAD}Content-Length: 4\r\n\r\nbody`), end: ExchangeEnd.Answered, isReusable: true, body: 'body'},
	{name: 'a complete chunked response', respond: socket => socket.write(`${OK_HEAD}${CHUNKS}0\r\n\r\n`), end: ExchangeEnd.Answered, isReusable: true, body: 'body'},
	{name: 'a complete chunked response, then a close', respond: socket => socket.end(`${OK_HEAD}Connection: close\r\n${CHUNKS}0\r\n\r\n`), end: ExchangeEnd.Answered, isReusable: false, body: 'body'},
	// Truncated chunked responses were forwarded as complete ones (bench rule MIXED, day trouble-2).
	{name: 'a chunked response truncated by a close is broken', respond: socket => socket.end(`${OK_HEAD}Connection: close\r\n${CHUNKS}`), end: ExchangeEnd.Broken},
	{
		name: 'a chunked response truncated by a reset is broken',
		respond(socket) {
			socket.write(`${OK_HEAD}Connection: close\r\n${CHUNKS}`, () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 20);
			});
		},
		end: ExchangeEnd.Broken,
	},
	{name: 'a response shorter than its length is broken', respond: socket => socket.end(`${OK_HEAD}Connection: close\r\nContent-Length: 9\r\n\r\nbody`), end: ExchangeEnd.Broken},
	{name: 'a close-delimited response is complete after a close', respond: socket => socket.end(`${OK_HEAD}Connection: close\r\n\r\nbody`), end: ExchangeEnd.Answered, isReusable: false, body: 'body'},
	{
		name: 'a close-delimited response is broken after a reset',
		respond(socket) {
			socket.write(`${OK_HEAD}Connection: close\r\n\r\nbody`, () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 20);
			});
		},
		end: ExchangeEnd.Broken,
	},
	{name: 'a response to another request is a mismatch', respond: socket => socket.write(MISMATCHED_RESPONSE), end: ExchangeEnd.Mismatched},
	{name: 'an invalid response is broken', respond: socket => socket.write('%$#! garbage\r\n\r\n'), end: ExchangeEnd.Broken},
	{name: 'a reset before the response is broken', respond: socket => socket.resetAndDestroy(), end: ExchangeEnd.Broken},
	{name: 'a close before the response is broken', respond: socket => socket.end(), end: ExchangeEnd.Broken},
	{name: 'a response that reports the request as not run sets mayHaveRun to false', respond: socket => socket.write(SHED_RESPONSE), end: ExchangeEnd.Answered, mayHaveRun: false, isReusable: true},
	{name: 'a 421 from another worker that now listens on the address sets mayHaveRun to false', respond: socket => socket.write(MISDIRECTED_RESPONSE), end: ExchangeEnd.Answered, mayHaveRun: false, isReusable: true},
];

for (const {name, respond, end, isReusable, mayHaveRun, body} of EXCHANGE_CASES) {
	test(`exchange: ${name}`, async () => {
		const worker = await new RawWorker(respond).start();
		const connection = new Connection(worker.address);
		const result = await runExchange(connection);
		assert.equal(result.end, end, result.message);
		assert.equal(result.mayHaveRun, mayHaveRun ?? true);
		assert.equal(result.isReusable, isReusable ?? false);
		if (body !== undefined) {
			assert.equal(result.body.toString(), body);
		}

		connection.close();
		await worker.stop();
	});
}

test('exchange: a request that found no connection cannot have run', async () => {
	const worker = await new RawWorker(() => {}).start();
	const {address} = worker;
	await worker.stop();
	const result = await runExchange(new Connection(address));
	assert.equal(result.end, ExchangeEnd.Unreachable);
	assert.equal(result.mayHaveRun, false);
});

test('exchange: surplus bytes after a response close the connection and never reach the next request', async () => {
	const worker = await new RawWorker((socket, request) => {
		socket.write(`${OK_HEAD}Content-Length: 4\r\n\r\nbody`);
		if (request === 1) {
			socket.write(`${OK_HEAD.replace('r1', 'r9')}Content-Length: 5\r\n\r\nextra`);
		}
	}).start();
	const connection = new Connection(worker.address);
	const first = await runExchange(connection);
	assert.equal(first.body.toString(), 'body');
	await new Promise(resolve => {
		setTimeout(resolve, 50);
	});
	const second = await runExchange(connection);
	assert.equal(second.body.toString(), 'body');
	assert.equal(worker.connections, 2);
	connection.close();
	await worker.stop();
});

test('exchange: a connection is not reused if the response arrives before the request body was sent completely', async () => {
	const worker = await new RawWorker((socket, _request, head) => {
		if (head.startsWith('POST')) {
			socket.write(`${OK_HEAD}Content-Length: 4\r\n\r\nbody`);
			socket.pause();
		}
	}).start();
	const connection = new Connection(worker.address);
	const result = await runExchange(connection, {method: 'POST', body: Buffer.alloc(8 * 1024 * 1024)});
	const isReused = result.end === ExchangeEnd.Answered && result.isReusable && !connection.isClosed;
	assert.equal(isReused, false, 'the rest of the body must not be sent before another request');
	connection.close();
	await worker.stop();
});

// Requests buffered in this host's kernel reached a worker after its network partition had healed, when their callers had
// already left (bench rule GONE, day scale-2). A regular close still delivers such bytes; a reset drops them.
test('exchange: cancelling a request drops the bytes that this host still buffers, so that they never reach a partitioned worker', async () => {
	const accepted: Socket[] = [];
	const server = createServer({pauseOnConnect: true}, socket => {
		accepted.push(socket);
	});
	await listen(server);
	const connection = new Connection(addressOf(server));
	const inFlight = new Exchange(connection, {
		method: 'POST', path: '/a/', headers: ['Host', 'a.example'], body: Buffer.alloc(16 * 1024 * 1024), requestId: 'r1',
	}, new PlatformHeaderCodec(), NOOP_SINK, new SystemClock());
	const ended = inFlight.run();
	while (accepted.length === 0 || !inFlight.wasSent) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	inFlight.cancel();
	await ended;
	let received = 0;
	const [socket] = accepted;
	const closed = new Promise(resolve => {
		socket!.on('error', () => {}).on('close', resolve);
	});
	socket!.on('data', chunk => {
		received += chunk.length;
	});
	socket!.resume();
	await closed;
	assert.ok(received < MAX_RECEIVED_BYTES, `${received} bytes reached the worker, more than it had buffered when the exchange was cancelled`);
	server.close();
});

// The reset had no error event, so undici took it for the regular end of the response, and the process crashed (soak test, `npm run soak`, seed 2001).
test('exchange: cancelling during a response without a length causes no uncaught exception', async () => {
	const worker = await new RawWorker(socket => socket.write(`${OK_HEAD}Connection: close\r\n\r\npart`)).start();
	const uncaught: unknown[] = [];
	const recordUncaught = (error: unknown) => {
		uncaught.push(error);
	};

	process.on('uncaughtException', recordUncaught);
	for (let round = 0; round < 5; round++) {
		const connection = new Connection(worker.address);
		const inFlight = new Exchange(connection, {
			method: 'GET', path: '/a/', headers: ['Host', 'a.example', 'Request-Id', 'r1'], body: undefined, requestId: 'r1',
		}, new PlatformHeaderCodec(), NOOP_SINK, new SystemClock());
		const ended = inFlight.run();
		while (!inFlight.hasResponseStarted) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		inFlight.cancel();
		const {end} = await ended;
		assert.equal(end, ExchangeEnd.Cancelled);
		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
	}

	process.off('uncaughtException', recordUncaught);
	assert.deepEqual(uncaught, []);
	await worker.stop();
});

test('exchange: a cancelled exchange closes its connection immediately', async () => {
	const worker = await new RawWorker(() => {}).start();
	const connection = new Connection(worker.address);
	const inFlight = new Exchange(connection, {
		method: 'GET', path: '/a/', headers: ['Host', 'a.example'], body: undefined, requestId: 'r1',
	}, new PlatformHeaderCodec(), NOOP_SINK, new SystemClock());
	const ended = inFlight.run();
	while (!inFlight.wasSent) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	inFlight.cancel();
	const {end, mayHaveRun} = await ended;
	assert.equal(end, ExchangeEnd.Cancelled);
	assert.equal(mayHaveRun, true);
	assert.equal(connection.isClosed, true);
	await worker.stop();
});

for (const [name, prepare] of [
	['with unsent bytes', (socket: Socket) => socket.write(Buffer.alloc(16 * 1024 * 1024))],
	['that is idle', () => {}],
	['that is already ending', (socket: Socket) => socket.end()],
	['that was already reset', (socket: Socket) => {
		resetSocket(socket);
	}],
] as const) {
	test(`socket: resetting a socket ${name} leaves no open handle`, async () => {
		const server = createServer(socket => {
			socket.pause().on('error', () => {});
		});
		await listen(server);
		const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
		socket.on('error', () => {});
		await new Promise(resolve => {
			socket.once('connect', resolve);
		});
		const closed = new Promise(resolve => {
			socket.once('close', resolve);
		});
		prepare(socket);
		resetSocket(socket);
		socket.destroy();
		await closed;
		assert.equal(socket.destroyed, true);
		server.close();
	});
}

// When a reset arrives together with the last bytes, Node reports a regular end; under load that was one response in fifty.
test('exchange: of many close-delimited responses that are reset, none is complete', async () => {
	const worker = await new RawWorker(socket => {
		socket.write(`${OK_HEAD}Connection: close\r\n\r\n${'x'.repeat(300_000)}`, () => {
			setTimeout(() => {
				resetSocket(socket);
			}, 20);
		});
	}).start();
	const ends = new Set<ExchangeEnd>();
	for (let round = 0; round < 10; round++) {
		const results = await Promise.all(Array.from({length: 40}, async () => runExchange(new Connection(worker.address)))); // eslint-disable-line no-await-in-loop
		for (const {end} of results) {
			ends.add(end);
		}
	}

	assert.ok(!ends.has(ExchangeEnd.Answered) && !ends.has(ExchangeEnd.Streamed), `ended as ${[...ends].join(', ')}`);
	await worker.stop();
});

test('reset: the other end of a connection always sees an error, also while bytes are buffered', async () => {
	let resets = 0;
	const server = createServer(socket => {
		socket.on('error', () => {});
		socket.write('x'.repeat(300_000), () => {
			setTimeout(() => {
				socket.write('x'.repeat(10));
				resetSocket(socket);
			}, 20);
		});
	});
	await listen(server);
	const {port} = server.address() as AddressInfo;
	const readOne = async () => new Promise<void>(resolve => {
		const socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
		let hadEnd = false;
		socket.on('data', () => {});
		socket.on('error', () => {});
		socket.on('end', () => {
			hadEnd = true;
			void wasResetAtEnd(socket).then(wasReset => {
				resets += Number(wasReset);
				socket.destroy();
				resolve();
			});
		});
		socket.on('close', hadError => {
			if (!hadEnd) {
				resets += Number(hadError);
				resolve();
			}
		});
	});
	for (let round = 0; round < 10; round++) {
		await Promise.all(Array.from({length: 40}, async () => readOne())); // eslint-disable-line no-await-in-loop
	}

	assert.equal(resets, 400);
	server.close();
});

test('exchange: what the head says is known while the body is still on its way, unless it belongs to another request', async () => {
	const heads: ResponseHead[] = [];
	const listener: ExchangeListener = {
		canSend: () => true,
		onHead(head) {
			heads.push(head);
		},
	};
	const worker = await new RawWorker(socket => socket.write(`${OK_HEAD}Server-Leaving: 1\r\nContent-Length: 9\r\n\r\nbody`)).start();
	const connection = new Connection(worker.address);
	const exchange = runExchange(connection, {}, listener);
	for (let tries = 0; heads.length === 0 && tries < 100; tries++) {
		await new Promise(resolve => { // eslint-disable-line no-await-in-loop
			setTimeout(resolve, 10);
		});
	}

	assert.equal(heads[0]?.metadata.isDraining, true);
	connection.reset();
	connection.close();
	await exchange;
	await worker.stop();
	const other = await new RawWorker(socket => socket.write(MISMATCHED_RESPONSE)).start();
	await runExchange(new Connection(other.address), {}, listener);
	await other.stop();
	assert.equal(heads.length, 1);
});

// A connection that opens late would carry a request to a worker that has told this host to wait meanwhile.
test('exchange: a request that was placed before the worker became unavailable is withdrawn when its connection opens', async () => {
	const worker = await new RawWorker(socket => socket.write(`${OK_HEAD}Content-Length: 4\r\n\r\nbody`)).start();
	const connection = new Connection(worker.address);
	const {end, mayHaveRun} = await runExchange(connection, {}, {canSend: () => false, onHead() {}});
	connection.close();
	assert.equal(end, ExchangeEnd.Withdrawn);
	assert.equal(mayHaveRun, false);
	assert.equal(worker.connections, 1);
	assert.deepEqual(worker.requestHeads, []);
	await worker.stop();
});
