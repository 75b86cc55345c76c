import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {Readable} from 'node:stream';
import {test} from 'node:test';
import {SystemClock} from '@apricotwood/clock';
import {
	Connection, Exchange, ExchangeEnd, resetSocket, type ExchangeResult,
} from '@apricotwood/entry';
import {PlatformHeaderCodec} from '@apricotwood/platform';
import {RawWorker} from '../fixtures/raw-worker.js';

/** Number of exchanges that run at the same time. */
const CONCURRENCY = 40;
/** Delay before a reset, so that what was written before it arrives, ms. */
const RESET_DELAY_MS = 15;
/** Bytes between two cuts of a long response. */
const LONG_STEP = 9973;

type Response = {
	readonly name: string;
	readonly bytes: string;
	readonly method?: string;
	/** Length from which the response is complete when its connection is closed. @default the length of `bytes` */
	readonly completeAt?: number;
	/** Whether also the whole response is refused. @default false */
	readonly isRefused?: boolean;
	/** Bytes between two cuts. @default 1 */
	readonly step?: number;
};

const SIGNED = 'Request-Id: r1\r\nServer-Signature: s\r\n';
const FRAMED = `HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 12\r\n\r\nbody of this`;
const CHUNKED = `HTTP/1.1 200 OK\r\n${SIGNED}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n8;x=1\r\n of this\r\n0\r\n\r\n`;
const UNFRAMED_HEAD = `HTTP/1.1 200 OK\r\n${SIGNED}Connection: close\r\n\r\n`;
const HTTP_1_0_HEAD = `HTTP/1.0 200 OK\r\n${SIGNED}\r\n`;

const RESPONSES: readonly Response[] = [
	{name: 'with a length', bytes: FRAMED},
	{name: 'with a length, then a close', bytes: FRAMED.replace('Content', 'Connection: close\r\nContent')},
	{name: 'in chunks', bytes: CHUNKED},
	{name: 'in chunks, then a close', bytes: CHUNKED.replace('Transfer', 'Connection: close\r\nTransfer')},
	{name: 'in chunks with a trailer', bytes: CHUNKED.replace('0\r\n\r\n', '0\r\nX-Sum: 1\r\n\r\n')},
	{name: 'without a length', bytes: `${UNFRAMED_HEAD}body`, completeAt: UNFRAMED_HEAD.length},
	{name: 'of HTTP/1.0 without a length', bytes: `${HTTP_1_0_HEAD}body`, completeAt: HTTP_1_0_HEAD.length},
	{name: 'of HTTP/1.0 with a length', bytes: FRAMED.replace('HTTP/1.1', 'HTTP/1.0')},
	{name: 'after a 102', bytes: `HTTP/1.1 102 Processing\r\n\r\n${FRAMED}`},
	{name: 'after a 100 that was not asked for', bytes: `HTTP/1.1 100 Continue\r\n\r\n${FRAMED}`, isRefused: true},
	{name: 'after a 103 that closes', bytes: `HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n${UNFRAMED_HEAD}`, isRefused: true},
	{name: 'of 204', bytes: `HTTP/1.1 204 No Content\r\n${SIGNED}\r\n`},
	{name: 'to HEAD', bytes: `HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 12\r\n\r\n`, method: 'HEAD'},
	{name: 'without headers', bytes: 'HTTP/1.1 200 OK\r\n\r\n'},
	{name: 'that is streamed', bytes: `HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 200000\r\n\r\n${'x'.repeat(200_000)}`, step: LONG_STEP},
	{
		name: 'that is streamed in chunks', bytes: `HTTP/1.1 200 OK\r\n${SIGNED}Transfer-Encoding: chunked\r\n\r\n${`4000\r\n${'x'.repeat(0x40_00)}\r\n`.repeat(12)}0\r\n\r\n`, step: LONG_STEP,
	},
];
/** Response to a first request on the connection; a parser may keep something of it. */
const FIRST_RESPONSE = `HTTP/1.1 200 OK\r\n${SIGNED.replace('r1', 'r0')}Content-Length: 2\r\n\r\nok`;

type Cut = {
	readonly length: number;
	readonly isReset: boolean;
	/** Whether the connection has carried a request before. */
	readonly isUsed: boolean;
};

function listCuts({bytes, step = 1}: Response): Cut[] {
	const cuts: Cut[] = [];
	for (let length = 0; length < bytes.length; length += step) {
		cuts.push({length, isReset: false, isUsed: length % 2 === 0});
		if (length % 5 === 0) {
			cuts.push({length, isReset: true, isUsed: length % 2 === 1});
		}
	}

	return cuts;
}

async function run(connection: Connection, requestId: string, method: string): Promise<ExchangeResult> {
	return new Exchange(connection, {
		method, path: '/a/', headers: ['Host', 'a.example', 'Request-Id', requestId], body: undefined, requestId,
	}, new PlatformHeaderCodec(), {start() {}, write: () => true}, new SystemClock()).run();
}

function writeCut(socket: Socket, {bytes}: Response, {length, isReset}: Cut): void {
	const part = bytes.slice(0, length);
	if (!isReset) {
		socket.end(part);
		return;
	}

	socket.write(part);
	setTimeout(() => {
		resetSocket(socket);
	}, RESET_DELAY_MS);
}

async function runCut(response: Response, cut: Cut): Promise<ExchangeResult> {
	const worker = await new RawWorker((socket, _request, head) => {
		if (head.includes('Request-Id: r0')) {
			socket.write(FIRST_RESPONSE);
		} else {
			writeCut(socket, response, cut);
		}
	}).start();
	const connection = new Connection(worker.address);
	if (cut.isUsed) {
		assert.equal((await run(connection, 'r0', 'GET')).end, ExchangeEnd.Answered);
	}

	const result = await run(connection, 'r1', response.method ?? 'GET');
	connection.close();
	await worker.stop();
	return result;
}

for (const response of RESPONSES) {
	// MIXED (report of another operator): a worker stopped in the middle of a head and closed; clients got a short or empty 200, framed as whole.
	test(`exchange: a response that ends early is not taken for a whole one: ${response.name}`, {timeout: 60_000}, async () => {
		const cuts = listCuts(response);
		const taken: Cut[] = [];
		for (let index = 0; index < cuts.length; index += CONCURRENCY) {
			await Promise.all(cuts.slice(index, index + CONCURRENCY).map(async cut => {
				const {end, mayHaveRun} = await runCut(response, cut);
				const isWhole = !cut.isReset && cut.length >= (response.completeAt ?? response.bytes.length);
				if (!isWhole && (end === ExchangeEnd.Answered || end === ExchangeEnd.Streamed || !mayHaveRun)) {
					taken.push(cut);
				}
			}));
		}

		assert.deepEqual(taken, []);
		const {end} = await runCut(response, {length: response.bytes.length, isReset: false, isUsed: false});
		assert.equal(end === ExchangeEnd.Answered || end === ExchangeEnd.Streamed, response.isRefused !== true, `the whole response ended as ${end}`);
	});
}

test('exchange: of two responses in one segment, the second of which is cut, the first is whole and the second answers nothing', async () => {
	const worker = await new RawWorker((socket, request) => {
		if (request === 1) {
			socket.end(FIRST_RESPONSE + FRAMED.slice(0, 60));
		}
	}).start();
	const connection = new Connection(worker.address);
	assert.equal((await run(connection, 'r0', 'GET')).end, ExchangeEnd.Answered);
	const second = await run(connection, 'r1', 'GET');
	assert.notEqual(second.end, ExchangeEnd.Answered);
	connection.close();
	await worker.stop();
});

/** Body that does not fit in the buffers of a connection, so that it is still being sent when the response arrives, bytes. */
const LONG_UPLOAD_BYTES = 8 * 1024 * 1024;
const UPLOAD_PIECE_BYTES = 64 * 1024;
const UPLOADS = 20;
/** Times between the part of an early response and the reset, ms; `undefined` for none at all. */
const RESET_DELAYS_MS = [undefined, 0, 1, 3];

const UPLOAD_KINDS: ReadonlyArray<{readonly name: string; readonly createBody: () => Buffer | Readable}> = [
	{name: 'at once', createBody: () => Buffer.alloc(LONG_UPLOAD_BYTES)},
	{name: 'piece by piece', createBody: () => Readable.from(Array.from({length: LONG_UPLOAD_BYTES / UPLOAD_PIECE_BYTES}, () => Buffer.alloc(UPLOAD_PIECE_BYTES)))},
];

async function upload(body: Buffer | Readable, respond: (socket: Socket) => void): Promise<ExchangeResult> {
	const worker = await new RawWorker(socket => {
		socket.pause();
		respond(socket);
	}).start();
	const connection = new Connection(worker.address);
	const result = await new Exchange(connection, {
		method: 'POST', path: '/a/', headers: ['Host', 'a.example', 'Request-Id', 'r1', 'Content-Length', String(LONG_UPLOAD_BYTES)], body, requestId: 'r1',
	}, new PlatformHeaderCodec(), {start() {}, write: () => true}, new SystemClock()).run();
	connection.close();
	await worker.stop();
	return result;
}

for (const {name, createBody} of UPLOAD_KINDS) {
	for (const head of [UNFRAMED_HEAD, HTTP_1_0_HEAD]) {
		// MIXED: a worker responded to a long upload at once, without a length, and reset the connection while the upload was being sent; the part of the body was taken for the whole.
		test(`exchange: a part of an early response is not taken for a whole one: an upload ${name}, ${head.slice(0, 8)}`, {timeout: 60_000}, async () => {
			for (const delayMs of RESET_DELAYS_MS) {
				const results = await Promise.all(Array.from({length: UPLOADS}, async () => upload(createBody(), socket => {
					socket.write(`${head}part`);
					if (delayMs === undefined) {
						resetSocket(socket);
					} else {
						setTimeout(() => {
							resetSocket(socket);
						}, delayMs);
					}
				})));
				assert.deepEqual(new Set(results.map(({end, mayHaveRun}) => `${end} ${mayHaveRun}`)), new Set([`${ExchangeEnd.Broken} true`]), `reset after ${delayMs} ms`);
			}
		});
	}
}

test('exchange: a response without a length to a whole upload is whole', async () => {
	const worker = await new RawWorker((socket, _request, head) => {
		const length = Number(/content-length: (\d+)/i.exec(head)![1]);
		let remaining = length + head.length - socket.bytesRead;
		const onData = (chunk: Buffer) => {
			remaining -= chunk.length;
			if (remaining <= 0) {
				socket.end(`${UNFRAMED_HEAD}body`);
			}
		};

		socket.on('data', onData);
	}).start();
	const connection = new Connection(worker.address);
	const result = await new Exchange(connection, {
		method: 'POST', path: '/a/', headers: ['Host', 'a.example', 'Request-Id', 'r1', 'Content-Length', String(LONG_UPLOAD_BYTES)], body: Buffer.alloc(LONG_UPLOAD_BYTES), requestId: 'r1',
	}, new PlatformHeaderCodec(), {start() {}, write: () => true}, new SystemClock()).run();
	assert.deepEqual([result.end, result.body.toString()], [ExchangeEnd.Answered, 'body']);
	connection.close();
	await worker.stop();
});
