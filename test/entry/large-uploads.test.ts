import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createHash, randomBytes} from 'node:crypto';
import {once} from 'node:events';
import {createServer, type IncomingMessage} from 'node:http';
import {connect, type Socket} from 'node:net';
import {
	after, afterEach, before, beforeEach, test,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
	BodyFlow, HeldBytes, LongBody, ReadPacer, TurnBudget,
} from '@apricotwood/admission';
import {SystemClock} from '@apricotwood/clock';
import {resetSocket} from '@apricotwood/entry';
import {
	FakeStore, addressOf, createOperatorConfig, listen,
} from '@apricotwood/platform/standin';
import {TestEntryHost, freePorts, waitUntil} from '../fixtures/test-entry-host.js';

const MIB = 1024 * 1024;
const DEADLINE_MS = 20_000;
/** Time after the end of a caller's connection within which a request may still reach a worker, ms. */
const DEPARTURE_MS = 500;
/** Number of uploads whose callers leave. */
const UPLOADS = 100;

const store = new FakeStore();
/** Ids of the requests whose head has reached the worker, and the times of these, Unix ms. */
const receivedAtMs = new Map<string, number>();
/** Answers of the requests that the worker holds. */
const held: Array<() => void> = [];
let isHolding = true;
const worker = createServer((req, res) => {
	const id = String(req.headers['request-id']);
	receivedAtMs.set(id, Date.now());
	const digest = createHash('md5');
	req.on('data', chunk => {
		digest.update(chunk as Buffer);
	});
	req.on('end', () => {
		const answer = () => {
			res.writeHead(200, {'request-id': id, 'server-signature': 's', 'instance-id': 'w1'}).end(digest.digest('hex'));
		};

		if (isHolding && req.url !== '/health') {
			held.push(answer);
		} else {
			answer();
		}
	});
});
let host: TestEntryHost;

/** How a body is framed, and how an upload comes to the host. */
enum Way {
	Chunks = 'in chunks',
	Length = 'with a length',
	/** From another host, which resets the connection when its caller has left. */
	OtherHost = 'from another host',
}

/** Starts an upload on a connection of its own. */
async function upload(id: string, body: Buffer, way = Way.Chunks): Promise<Socket> {
	const {ip, peerPort, callerAddress} = host.settings.entry.self;
	const port = way === Way.OtherHost ? peerPort : Number(callerAddress.split(':')[1]);
	const socket = connect(port, ip);
	socket.on('error', () => {});
	await once(socket, 'connect');
	const framing = way === Way.Length ? `Content-Length: ${body.length}` : 'Transfer-Encoding: chunked';
	const origin = way === Way.OtherHost ? 'X-Forwarded-By-Host: other\r\n' : '';
	socket.write(`POST /photos/x HTTP/1.1\r\nHost: a.example\r\n${origin}Request-Id: ${id}\r\nRequest-Deadline-Ms: ${DEADLINE_MS}\r\n${framing}\r\n\r\n`);
	socket.write(way === Way.Length ? body : Buffer.concat([Buffer.from(`${body.length.toString(16)}\r\n`), body, Buffer.from('\r\n0\r\n\r\n')]));
	return socket;
}

/** Ids of the uploads that have reached the worker. */
function listReceived(prefix: string): string[] {
	return [...receivedAtMs.keys()].filter(id => id.startsWith(prefix));
}

/** Sends the worker as many requests as it takes: one that it runs, and one that it queues. */
async function occupyWorker(id: string): Promise<void> {
	isHolding = true;
	for (const name of ['runs', 'queued']) {
		void host.send('/photos/hold', {method: 'POST', id: `${name}-${id}`, headers: {'request-deadline-ms': String(DEADLINE_MS)}});
	}

	await waitUntil('the worker has both requests', () => held.length === 2);
}

/** Frees the slot, and answers what comes then at once. */
function freeWorker(): void {
	isHolding = false;
	for (const answer of held.splice(0)) {
		answer();
	}
}

before(async () => {
	await listen(worker);
	await store.start();
	const config = createOperatorConfig(3, ['board'], [['photos', 'a.example', '/photos/', 'upload', `${DEADLINE_MS}ms`, '15000ms', 0, 'board', 2, true, [], null]]);
	store.putConfig({...config, limits: {...config.limits, max_body_bytes: 64 * MIB}});
	store.putWorker('w1', {
		addr: addressOf(worker), born: 1, info: {service: 'board', zone: 'a1', version: 'v1', slots: 1}, status: {state: 'ready', sequence: 1, cold_remaining: '0ms'},
	});
});

beforeEach(async () => {
	host = await new TestEntryHost('127.0.0.91', await freePorts(5), store.address).start();
	await waitUntil('the host is ready', () => host.host.isReady && host.host.state.fleet.size === 1);
});

afterEach(async () => {
	await host.stop();
});

after(async () => {
	await store.stop();
	worker.closeAllConnections();
	worker.close();
});

// GONE: the request was paused while it waited, and with it the reading of the connection's end.
const LONG_BODIES = [
	[Way.Chunks, 1_200_000, UPLOADS],
	[Way.Length, 1_200_000, 12],
	[Way.OtherHost, 1_200_000, 12],
	// The end lies behind what is read ahead.
	[Way.Chunks, 2_400_000, 12],
] as const;
for (const [way, bytes, count] of LONG_BODIES) {
	test(`a large upload that waits is not sent on after its client has left: ${bytes} bytes ${way}`, async () => {
		const prefix = `left-${bytes}-${way}-`;
		await occupyWorker(prefix);
		const sockets = await Promise.all(Array.from({length: count}, async (_, index) => upload(`${prefix}${index}`, Buffer.alloc(bytes), way)));
		await Promise.all(sockets.map(async socket => waitUntil('the upload is sent', () => socket.writableLength === 0)));
		for (const socket of sockets) {
			if (way === Way.OtherHost) {
				resetSocket(socket);
			} else {
				socket.destroy();
			}
		}

		await delay(DEPARTURE_MS);
		freeWorker();
		await delay(DEPARTURE_MS);
		const listCodes = () => host.logLines.filter(line => String(line.id).startsWith(prefix)).map(line => line.code);
		await waitUntil('all uploads have ended', () => listCodes().length >= count);
		assert.deepEqual(listReceived(prefix), []);
		assert.deepEqual(listCodes(), Array.from({length: count}, () => 'caller-left'));
	});
}

test('a large upload that waits reaches the worker whole if its client stays', async () => {
	await occupyWorker('before-staying');
	const body = randomBytes(12 * MIB);
	const socket = await upload('stays', body);
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
	});
	await delay(DEPARTURE_MS);
	freeWorker();
	await waitUntil('the client has an answer', () => text.includes(createHash('md5').update(body).digest('hex')));
	assert.match(text, /^HTTP\/1.1 200 /);
	socket.destroy();
});

/** Has a host of the test receive one upload. @returns the request, of which nothing has been read. */
async function receiveUpload(bytes: number): Promise<{req: IncomingMessage; caller: Socket; close: () => void}> {
	const server = createServer();
	await listen(server);
	const [ip, port] = addressOf(server).split(':');
	const caller = connect(Number(port), ip);
	caller.on('error', () => {});
	caller.write(`POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: ${bytes}\r\n\r\n`);
	caller.write(Buffer.alloc(bytes));
	const [req] = await once(server, 'request') as [IncomingMessage];
	return {
		req, caller, close() {
			caller.destroy();
			server.closeAllConnections();
			server.close();
		},
	};
}

test('while the worker does not read, a bounded part of an upload is held, and the departure of its client is seen', async () => {
	const long = await receiveUpload(30 * MIB);
	const held = new HeldBytes();
	const pacer = new ReadPacer(new SystemClock(), new TurnBudget());
	const longBody = new LongBody(new BodyFlow(long.req, pacer), {maxBytes: 64 * MIB, held, holding: undefined});
	await delay(DEPARTURE_MS);
	assert.ok(held.total >= MIB && held.total < 1.5 * MIB, `${held.total}`);
	await longBody.readArrived();
	assert.ok(held.total < 10 * MIB, `${held.total}`);

	const short = await receiveUpload(MIB / 2);
	const shortBody = new LongBody(new BodyFlow(short.req, pacer), {maxBytes: 64 * MIB, held, holding: undefined});
	const ended = once(short.req.socket, 'end', {signal: AbortSignal.timeout(DEPARTURE_MS)});
	short.caller.destroy();
	await ended;

	let bytes = 0;
	for await (const chunk of longBody.stream()) {
		bytes += chunk.length;
	}

	assert.equal(bytes, 30 * MIB);
	longBody.release();
	shortBody.release();
	assert.equal(held.total, 0);
	long.close();
	short.close();
});
