import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {SystemClock} from '@apricotwood/clock';
import {
	Connection, Exchange, ExchangeEnd, type ExchangeRequest, type ExchangeResult,
} from '@apricotwood/entry';
import {PlatformHeaderCodec} from '@apricotwood/platform';
import {RawWorker} from '../fixtures/raw-worker.js';

function createHead(status: number, id?: string): string {
	const statement = status === 200 ? 'Server-Signature: s\r\n' : 'Not-Executed: 1\r\n';
	return `HTTP/1.1 ${status} X\r\n${id === undefined ? '' : `Request-Id: ${id}\r\n`}${statement}`;
}

function createResponse(status: number, id?: string): string {
	return `${createHead(status, id)}Content-Length: 4\r\n\r\nbody`;
}

async function run(connection: Connection, requestId: string | undefined, fields: Partial<ExchangeRequest> = {}): Promise<ExchangeResult> {
	const headers = requestId === undefined ? ['Host', 'a.example'] : ['Host', 'a.example', 'Request-Id', requestId];
	return new Exchange(connection, {
		method: 'POST', path: '/a/', headers, body: undefined, requestId, ...fields,
	}, new PlatformHeaderCodec(), {start() {}, write: () => true}, new SystemClock()).run();
}

/** Runs two exchanges on one connection, with a pause between them. */
async function runTwice(respond: (socket: Socket, request: number) => unknown, {pauseMs = 40, isPeer = false} = {}): Promise<ExchangeResult> {
	const worker = await new RawWorker(respond).start();
	const connection = new Connection(worker.address);
	assert.equal((await run(connection, 'r1', {isPeer})).end, ExchangeEnd.Answered);
	await delay(pauseMs);
	const second = await run(connection, 'r2', {isPeer});
	connection.close();
	await worker.stop();
	return second;
}

/** Copies of the first response, a rejection of `r1`, that arrive before the answer to the second request. */
const COPIES: ReadonlyArray<readonly [string, (socket: Socket) => unknown]> = [
	['whole', socket => socket.write(createResponse(503, 'r1'))],
	['in one segment with the answer', socket => socket.write(createResponse(503, 'r1') + createResponse(200, 'r2'))],
	['in two pieces', socket => {
		socket.write('HTTP/1.1 503 X\r\nRequ');
		setTimeout(() => {
			socket.write('est-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n');
		}, 20);
	}],
	['with a status of 421', socket => socket.write(createResponse(421, 'r1'))],
	['with a status of 429', socket => socket.write(createResponse(429, 'r1'))],
	['without an id', socket => socket.write(createResponse(503))],
	['a success without an id', socket => socket.write(createResponse(200))],
];
for (const [name, writeCopy] of COPIES) {
	// REFUSED: what cannot be told to be the answer to this attempt is not believed, above all not that it has not run.
	test(`exchange: an earlier response that is sent once more is not the answer to the next request: ${name}`, async () => {
		const second = await runTwice((socket, request) => {
			if (request === 1) {
				socket.write(createResponse(503, 'r1'));
			} else {
				writeCopy(socket);
			}
		});
		assert.equal(second.end, ExchangeEnd.Mismatched);
		assert.equal(second.mayHaveRun, true);
		assert.equal(second.isReusable, false);
	});
}

for (const pauseMs of [0, 29, 31]) {
	test(`exchange: an earlier response that is sent once more while the connection is idle answers nothing, next request after ${pauseMs} ms`, async () => {
		const second = await runTwice((socket, request) => {
			socket.write(createResponse(503, `r${request}`));
			if (request === 1) {
				setTimeout(() => {
					socket.write(createResponse(503, 'r1'));
				}, 25);
			}
		}, {pauseMs});
		// Either the second request was answered before the copy came, or it was not sent, or its outcome is unknown.
		const isOwn = second.head?.metadata.requestId === 'r2';
		assert.ok(second.end === ExchangeEnd.Answered ? isOwn : true, second.end);
		assert.ok(isOwn || second.end === ExchangeEnd.Unreachable || second.mayHaveRun, second.end);
	});
}

test('exchange: the first response of a connection needs no id, nor do those of other hosts', async () => {
	const respond = (socket: Socket) => socket.write(createResponse(503));
	const worker = await new RawWorker(respond).start();
	const connection = new Connection(worker.address);
	const first = await run(connection, 'r1');
	connection.close();
	await worker.stop();
	assert.deepEqual([first.end, first.mayHaveRun], [ExchangeEnd.Answered, false]);
	const second = await runTwice(respond, {isPeer: true});
	assert.deepEqual([second.end, second.mayHaveRun], [ExchangeEnd.Answered, false]);
});
