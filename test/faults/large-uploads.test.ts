import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {after, before, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {Rig, sendRequest, waitUntil} from '../fixtures/rig.js';

const MEMBER = {'apricotwood-member': 'club'};
/** Processing time of the requests that occupy the workers, ms. */
const SERVICE_MS = 300;
/** Lengths of the bodies of callers that leave, bytes; the end of the longest lies behind what is read ahead. */
const LENGTHS = [100_000, 1_000_000, 1_400_000];

let rig: Rig;

before(async () => {
	rig = await Rig.start({slots: 1});
	for (const worker of rig.workers.values()) {
		worker.serviceMs = SERVICE_MS;
	}
});

after(async () => {
	await rig.stop();
});

/** Number of requests for a path that workers have started. */
function countStarted(path: string): number {
	return [...rig.workers.values()].reduce((sum, worker) => sum + worker.startedPaths.filter(started => started === path).length, 0);
}

/** Starts an upload in chunks on a connection of its own. */
async function upload(path: string, body: Buffer): Promise<Socket> {
	const socket = connect(rig.port, '127.0.0.1');
	socket.on('error', () => {});
	await once(socket, 'connect');
	socket.write(`POST /s/board${path} HTTP/1.1\r\nHost: a.example\r\nApricotwood-Member: club\r\nTransfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n`);
	socket.write(Buffer.concat([body, Buffer.from('\r\n0\r\n\r\n')]));
	return socket;
}

/** Occupies both workers. @returns a promise of the ends. */
async function occupyWorkers(path: string): Promise<unknown> {
	const occupying = Array.from({length: 2}, async () => sendRequest(rig.port, {path: `/s/board${path}`, headers: MEMBER}));
	await waitUntil(() => countStarted(path) === 2);
	return Promise.all(occupying);
}

// GONE: the request was paused while it was queued, and with it the reading of the connection's end.
for (const length of LENGTHS) {
	test(`a large upload that is queued is not sent on after its caller has left: ${length} bytes`, async () => {
		const path = `/left-${length}`;
		const occupying = occupyWorkers(`/busy-${length}`);
		await waitUntil(() => countStarted(`/busy-${length}`) === 2);
		const callers = await Promise.all(Array.from({length: 4}, async () => upload(path, Buffer.alloc(length))));
		await waitUntil(() => callers.every(caller => caller.writableLength === 0));
		await delay(SERVICE_MS / 8);
		for (const caller of callers) {
			caller.destroy();
		}

		await occupying;
		await delay(SERVICE_MS);
		assert.equal(countStarted(path), 0);
	});
}
