import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FakeClock} from '@apricotwood/clock';
import {
	ConnectionPool, Exchange, ExchangeEnd, computeMaxIdleConnections, createTcpConnector, type Connection,
} from '@apricotwood/entry';
import {PlatformHeaderCodec} from '@apricotwood/platform';
import {Metrics} from '@apricotwood/telemetry';
import {RawWorker} from '../fixtures/raw-worker.js';

const EMPTY_RESPONSE = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n';

type PoolFixture = {
	readonly clock: FakeClock;
	readonly pool: ConnectionPool;
	readonly worker: RawWorker;
};

async function createPoolFixture(): Promise<PoolFixture> {
	const clock = new FakeClock();
	const worker = await new RawWorker(socket => socket.write(EMPTY_RESPONSE)).start();
	return {
		clock, worker, pool: new ConnectionPool({
			clock, metrics: new Metrics(), connector: createTcpConnector(), onConnect() {}, onConnectFailure() {},
		}),
	};
}

/** Acquires a connection from the pool and sends one request on it. */
async function sendRequest({pool, worker, clock}: PoolFixture, id: string, isNonIdempotent = false): Promise<Connection> {
	const connection = pool.acquire(id, worker.address, isNonIdempotent);
	const {end} = await new Exchange(connection, {
		method: 'GET', path: '/', headers: ['Host', 'a.example'], body: undefined, requestId: undefined,
	}, new PlatformHeaderCodec(), {start() {}, write: () => true}, clock).run();
	assert.equal(end, ExchangeEnd.Answered);
	return connection;
}

test('pool: removing a worker closes its connections and keeps those of other workers', async () => {
	const fixture = await createPoolFixture();
	const {pool, worker: {address}, clock} = fixture;
	const gone = await sendRequest(fixture, 'w1');
	const stays = await sendRequest(fixture, 'w2');
	pool.release('w1', address, gone);
	pool.release('w2', address, stays);
	pool.removeWorker('w1');
	assert.equal(gone.isClosed, true);
	assert.equal(stays.isClosed, false);
	clock.advance(50);
	assert.equal(pool.acquire('w2', address, true), stays);
	stays.close();
	await fixture.worker.stop();
});

test('pool: idle connections of all hosts take at most half of a worker\'s connection limit', async () => {
	for (const [maxConnections, hosts, expected] of [[360, 10, 8], [1740, 87, 8], [1740, 300, 2], [1740, 7100, 0], [undefined, 10, 8]] as const) {
		assert.equal(computeMaxIdleConnections(maxConnections, hosts), expected);
	}

	const fixture = await createPoolFixture();
	const first = await sendRequest(fixture, 'w1');
	const second = await sendRequest(fixture, 'w1');
	fixture.pool.release('w1', fixture.worker.address, first, 1);
	fixture.pool.release('w1', fixture.worker.address, second, 1);
	assert.equal(first.isClosed, false);
	assert.equal(second.isClosed, true);
	fixture.pool.close();
	await fixture.worker.stop();
});

test('pool: a non-idempotent request does not reuse a connection that the worker may have dropped', async () => {
	const fixture = await createPoolFixture();
	const {pool, worker: {address}, clock} = fixture;
	const kept = await sendRequest(fixture, 'w1');
	pool.release('w1', address, kept);
	clock.advance(3000);
	pool.recordBrokenConnection('w1', address);
	const fresh = pool.acquire('w1', address, true);
	assert.notEqual(fresh, kept, 'the worker recently broke an idle connection');
	assert.equal(pool.acquire('w1', address, false), kept, 'an idempotent request reuses the connection');
	pool.release('w1', address, kept);
	clock.advance(10_000);
	assert.notEqual(pool.acquire('w1', address, true), kept, 'the connection was idle for too long');
	kept.close();
	fresh.close();
	await fixture.worker.stop();
});
