import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {SystemClock} from '@apricotwood/clock';
import {
	Connection, Exchange, ExchangeEnd, type ExchangeResult,
} from '@apricotwood/entry';
import {PlatformHeaderCodec} from '@apricotwood/platform';
import {listInvalidHeads} from '../fixtures/invalid-heads.js';
import {RawWorker} from '../fixtures/raw-worker.js';

/** Time after which a worker closes its connection, ms. */
const CLOSE_DELAY_MS = 20;

async function exchange(bytes: string): Promise<ExchangeResult> {
	const worker = await new RawWorker(socket => {
		socket.write(Buffer.from(bytes, 'latin1'));
		setTimeout(() => {
			socket.end();
		}, CLOSE_DELAY_MS);
	}).start();
	const connection = new Connection(worker.address);
	const result = await new Exchange(connection, {
		method: 'GET', path: '/a/', headers: ['Host', 'a.example', 'Request-Id', 'r1'], body: undefined, requestId: 'r1',
	}, new PlatformHeaderCodec(), {start() {}, write: () => true}, new SystemClock()).run();
	connection.close();
	await worker.stop();
	return result;
}

// MIXED: callers got responses with the status 000, and with blanks or control characters in the names of their headers.
test('exchange: a head that is not valid is no response', {timeout: 60_000}, async () => {
	const taken: string[] = [];
	for (const {name, bytes} of listInvalidHeads('Request-Id: r1\r\nServer-Signature: s\r\n')) {
		const {end, isReusable, mayHaveRun} = await exchange(bytes);
		if (end !== ExchangeEnd.Broken || isReusable || !mayHaveRun) {
			taken.push(`${name}: ${end}`);
		}
	}

	assert.deepEqual(taken, []);
});
