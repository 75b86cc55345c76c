import assert from 'node:assert/strict';
import {ServerResponse, type OutgoingHttpHeaders} from 'node:http';
import {
	after, before, mock, test,
} from 'node:test';
import {SystemClock} from '@apricotwood/clock';
import {
	ConnectionPool, Exchange, ExchangeEnd, createTcpConnector, type Connector, type ExchangeListener, type ExchangeResult, type ResponseSink,
} from '@apricotwood/entry';
import {PlatformHeaderCodec} from '@apricotwood/platform';
import {FakeStore, createOperatorConfig} from '@apricotwood/platform/standin';
import {Metrics, NOOP_LOG} from '@apricotwood/telemetry';
import {RawWorker} from '../fixtures/raw-worker.js';
import {TestEntryHost, freePorts, waitUntil} from '../fixtures/test-entry-host.js';

/** Size of a response that is streamed, bytes. */
const LONG_BYTES = 300_000;
/** Header that the HTTP server refuses to write. */
const ODD_HEADER = 'x-odd';
const NOOP_SINK: ResponseSink = {start() {}, write: () => true};

function createResponse(head: string, bytes: number, lines = ''): string {
	return `HTTP/1.1 200 OK\r\nRequest-Id: ${/request-id: (\S+)/i.exec(head)?.[1]}\r\nServer-Signature: s\r\n${lines}Content-Length: ${bytes}\r\n\r\n${'x'.repeat(bytes)}`;
}

/** Creates a connector of whose sockets a listener throws, as one of the HTTP client may. */
function createThrowingConnector(event: string): Connector {
	const connector = createTcpConnector();
	return (options, callback) => {
		connector(options, (...args) => {
			args[1]?.once(event, () => {
				throw new Error('unexpected');
			});
			callback(...args);
		});
	};
}

type Failure = {
	readonly name: string;
	readonly end: ExchangeEnd;
	readonly connector?: Connector;
	readonly sink?: ResponseSink;
	readonly listener?: ExchangeListener;
};

function fail(): never {
	throw new Error('unexpected');
}

const FAILURES: readonly Failure[] = [
	{name: 'before it is sent', end: ExchangeEnd.Unreachable, listener: {canSend: fail, onHead() {}}},
	{name: 'with the head of its response', end: ExchangeEnd.Broken, listener: {canSend: () => true, onHead: fail}},
	{name: 'as its response is started', end: ExchangeEnd.Truncated, sink: {start: fail, write: () => true}},
	{name: 'as its response is written', end: ExchangeEnd.Truncated, sink: {start() {}, write: fail}},
	{name: 'in a listener of its socket for bytes', end: ExchangeEnd.Broken, connector: createThrowingConnector('readable')},
	{name: 'in a listener of its socket for the end', end: ExchangeEnd.Broken, connector: createThrowingConnector('end')},
];

for (const {name, end, connector = createTcpConnector(), sink = NOOP_SINK, listener} of FAILURES) {
	// An exception in an event handler ended the process, with all requests in flight.
	test(`an exception ends its exchange only: ${name}`, async () => {
		const worker = await new RawWorker((socket, _request, head) => {
			if (name.endsWith('the end')) {
				socket.end();
			} else {
				socket.write(createResponse(head, LONG_BYTES));
			}
		}).start();
		const lines: Array<Record<string, unknown>> = [];
		const metrics = new Metrics();
		const pool = new ConnectionPool({
			clock: new SystemClock(),
			log: {
				...NOOP_LOG, error(line) {
					lines.push(line);
				},
			},
			metrics,
			connector,
			onConnect() {},
			onConnectFailure() {},
		});
		const run = async (requestId: string, ownSink: ResponseSink, ownListener?: ExchangeListener): Promise<ExchangeResult> => {
			const connection = pool.acquire(requestId, worker.address, {requestId, isNonIdempotent: true});
			const result = await new Exchange(connection, {
				method: 'GET', path: '/a/', headers: ['Host', 'a.example', 'Request-Id', requestId], body: undefined, requestId,
			}, new PlatformHeaderCodec(), ownSink, new SystemClock(), ownListener).run();
			connection.close();
			return result;
		};

		const result = await run('r1', sink, listener);
		assert.equal(result.end, end, result.message);
		assert.equal(result.isReusable, false);
		assert.equal(result.mayHaveRun, worker.requestHeads.length > 0);
		assert.deepEqual(lines.map(({event, id}) => [event, id]), [['exchange-failed', 'r1']]);
		assert.equal(metrics.snapshot()['upstream.exceptions'], 1);
		if (!name.includes('socket')) {
			assert.equal((await run('r2', NOOP_SINK)).end, ExchangeEnd.Streamed);
		}

		await worker.stop();
	});
}

const store = new FakeStore();
const worker = new RawWorker((socket, _request, head) => {
	socket.write(createResponse(head, head.includes('/long') ? LONG_BYTES : 4, head.includes('/odd') ? `${ODD_HEADER}: 1\r\n` : ''));
});

before(async () => {
	await store.start();
	store.putConfig(createOperatorConfig(2, ['board'], [['film', 'a.example', '/film/', 'non_idempotent', null, '600ms', 1, 'board', 1, false, [], null]]));
	await worker.start();
	store.putWorker('w1', {
		addr: worker.address, born: 1, info: {service: 'board', zone: 'a1', version: 'v1', slots: 4}, status: {state: 'ready', sequence: 1, cold_remaining: '0ms'},
	});
});

after(async () => {
	await worker.stop();
	await store.stop();
});

for (const [path, event, counter] of [['/film/odd', 'request-failed', 'requests.exceptions'], ['/film/odd/long', 'exchange-failed', 'upstream.exceptions']] as const) {
	test(`a host that fails to forward a response tells the request and counts it: ${path}`, async () => {
		const host = await new TestEntryHost('127.0.0.82', await freePorts(5), store.address).start();
		await waitUntil('the host is ready', () => host.host.isReady && host.host.state.fleet.size === 1);
		const {writeHead} = ServerResponse.prototype;
		mock.method(ServerResponse.prototype, 'writeHead', function (this: ServerResponse, status: number, headers?: OutgoingHttpHeaders) {
			assert.equal(headers?.[ODD_HEADER], undefined);
			return writeHead.call(this, status, headers);
		});
		const [odd, sound] = await Promise.allSettled([host.send(path, {id: 'odd'}), host.send('/film/long', {id: 'sound'})]);
		mock.restoreAll();
		assert.notEqual(odd.status === 'fulfilled' && odd.value.status, 200);
		assert.ok(sound.status === 'fulfilled' && sound.value.body.length === LONG_BYTES);
		assert.deepEqual(host.logLines.filter(line => line.event === event).map(({id}) => id), ['odd']);
		assert.equal(host.metrics.snapshot()[counter], 1);
		await host.stop();
	});
}
