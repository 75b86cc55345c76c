import assert from 'node:assert/strict';
import {createSocket} from 'node:dgram';
import {createServer, type RequestListener} from 'node:http';
import {
	after, afterEach, before, beforeEach, test,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {MemberList, encodeHeartbeat, type HostEntry} from '@apricotwood/entry';
import {FakeWorker} from '@apricotwood/platform/standin';
import {waitUntil, type TestEntryHost} from '../fixtures/test-entry-host.js';
import {TestHostSetup} from '../fixtures/test-host-setup.js';

/** Time from the stop signal to the end of a host, ms: far below the timeout of a catch-up request. */
const GRACE_MS = 20;
/** Time for the last log lines of a host that has ended, ms. */
const LAST_LINES_MS = 50;

/** Another host, which announces a change that the tested host lacks. */
class FakePeer {
	readonly entry: HostEntry;
	/** Number of catch-up requests received. */
	requests = 0;
	/** Number of catch-up requests whose connection has closed. */
	closedRequests = 0;
	readonly #socket = createSocket('udp4');
	readonly #server;

	constructor(ip: string, peerPort: number, handle: RequestListener) {
		this.entry = {
			id: `peer-${ip}`, ip, peerPort, callerAddress: `${ip}:80`, zone: 'a1', region: 'a', startedMs: 1,
		};
		this.#server = createServer((req, res) => {
			this.requests++;
			res.on('close', () => {
				this.closedRequests++;
			});
			handle(req, res);
		});
	}

	async start(): Promise<this> {
		const {ip, peerPort} = this.entry;
		await new Promise<void>(resolve => {
			this.#server.listen(peerPort, ip, resolve);
		});
		await new Promise<void>(resolve => {
			this.#socket.bind(peerPort, ip, resolve);
		});
		return this;
	}

	stop(): void {
		this.#socket.close();
		this.#server.close();
		this.#server.closeAllConnections();
	}

	announceChange({ip, peerPort}: HostEntry): void {
		const heartbeat = encodeHeartbeat({
			senderHash: new MemberList(this.entry).hash,
			isReady: true,
			isSourceFailing: false,
			operations: {
				changedRevision: Number.MAX_SAFE_INTEGER, cursor: Number.MAX_SAFE_INTEGER, ageMs: 0, fingerprint: 1,
			},
			workers: {
				changedRevision: 0, cursor: 0, ageMs: 0, fingerprint: 0,
			},
			loads: new Map(),
			sentRequests: [],
			hostEntries: [this.entry],
			zone: undefined,
		});
		this.#socket.send(heartbeat, peerPort, ip);
	}
}

const setup = new TestHostSetup({worker: new FakeWorker('w1', 'board')});
let host: TestEntryHost;

function findCatchUpFailures(): Array<Record<string, unknown>> {
	return host.logLines.filter(({event}) => event === 'catch-up-failed');
}

/** Lets the host request the change that the peer announces. */
async function beginCatchUp(peer: FakePeer): Promise<void> {
	await waitUntil('the host requests the change', () => {
		peer.announceChange(host.settings.entry.self);
		return peer.requests > 0;
	});
}

before(async () => setup.start());

after(async () => setup.stop());

beforeEach(async () => {
	host = await setup.startHost('127.0.0.90', {graceMs: GRACE_MS});
});

afterEach(async () => setup.stopHosts());

// LOST (docs/incidents, 2026-12-05): "The client is destroyed" was logged as a failure of the host that was asked.
test('a host that ends during a catch-up logs no failure of the other host', async () => {
	const peer = await new FakePeer('127.0.0.91', host.settings.entry.self.peerPort, () => {}).start();
	try {
		await beginCatchUp(peer);
		await host.stop();
		await delay(LAST_LINES_MS);
		assert.deepEqual(findCatchUpFailures(), []);
		assert.equal(peer.closedRequests, peer.requests);
	} finally {
		peer.stop();
	}
});

test('a catch-up that the other host breaks off is logged as its failure', async () => {
	const peer = await new FakePeer('127.0.0.92', host.settings.entry.self.peerPort, req => {
		req.socket.destroy();
	}).start();
	try {
		await beginCatchUp(peer);
		await waitUntil('the failure is logged', () => findCatchUpFailures().length > 0);
		assert.equal(findCatchUpFailures()[0]!.host, peer.entry.id);
	} finally {
		peer.stop();
	}
});
