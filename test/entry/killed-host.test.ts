import assert from 'node:assert/strict';
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {connect, type Socket} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {
	after, afterEach, before, beforeEach, test,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
	FakeStore, callerAddress, createHostSettings, createOperatorConfig, fetchReadiness,
} from '@apricotwood/platform/standin';
import {RawWorker} from '../fixtures/raw-worker.js';
import {waitUntil} from '../fixtures/test-entry-host.js';

const PROGRAM = fileURLToPath(new URL('../../platform/dist/main.js', import.meta.url));
/** Address of the host; its ports are fixed, so other programs must not use it. */
const HOST_IP = `127.83.${process.pid % 250}.${1 + (Math.floor(process.pid / 250) % 250)}`;
/** First part of a response that is streamed, and the whole of it, bytes. */
const PART_BYTES = 300_000;
const WHOLE_BYTES = 400_000;

const folder = mkdtempSync(path.join(tmpdir(), 'killed-host-'));
const store = new FakeStore();
let respond: (socket: Socket, head: string) => void = () => {};
const worker = new RawWorker((socket, _request, head) => {
	respond(socket, head);
});
let host: ChildProcess;

before(async () => {
	await store.start();
	store.putConfig(createOperatorConfig(2, ['board'], [['film', 'a.example', '/film/', 'idempotent', null, '600ms', 1, 'board', 1, false, [], null]]));
	await worker.start();
	store.putWorker('w1', {
		addr: worker.address, born: 1, info: {service: 'board', zone: 'a1', version: 'v1', slots: 8}, status: {state: 'ready', sequence: 1, cold_remaining: '0ms'},
	});
	const settingsPath = path.join(folder, 'settings.json');
	writeFileSync(settingsPath, JSON.stringify(createHostSettings({
		id: 'host-1', ip: HOST_IP, zone: 'a1', storeAddress: store.address, seeds: [], regionByZone: {a1: 'a'},
	})));
	process.env.APRICOTWOOD_SETTINGS = settingsPath;
});

after(async () => {
	await worker.stop();
	await store.stop();
	rmSync(folder, {recursive: true});
});

beforeEach(async () => {
	host = spawn(process.execPath, [PROGRAM], {stdio: 'ignore'});
	await waitUntil('the host is ready', async () => fetchReadiness(HOST_IP));
	respond = (socket, head) => {
		socket.write(`${createHead(head, 'Content-Length: 2')}ok`);
	};

	await waitUntil('the host serves', async () => {
		const {text} = await request('1.1', 'Connection: close').received;
		return text.startsWith('HTTP/1.1 200');
	});
});

afterEach(async () => {
	await kill();
});

async function kill(): Promise<void> {
	if (host.exitCode === null && host.signalCode === null) {
		host.kill('SIGKILL');
		await once(host, 'exit');
	}
}

function createHead(head: string, line: string): string {
	return `HTTP/1.1 200 OK\r\nRequest-Id: ${/request-id: (\S+)/i.exec(head)?.[1]}\r\nServer-Signature: s\r\n${line}${line && '\r\n'}\r\n`;
}

/** What a caller has received, and whether its connection was reset. */
type Received = {readonly text: string; readonly wasReset: boolean};

let nextId = 0;

/** Sends a request on a new connection. @returns what arrives until the connection ends. */
function request(version: string, line = 'Accept: */*'): {readonly received: Promise<Received>; readonly countBytes: () => number} {
	const [ip, port] = callerAddress(HOST_IP).split(':');
	const socket = connect({host: ip!, port: Number(port)});
	socket.write(`GET /film/x HTTP/${version}\r\nHost: a.example\r\nRequest-Id: r${++nextId}\r\nRequest-Deadline-Ms: 9000\r\n${line}\r\n\r\n`);
	let text = '';
	let wasReset = false;
	socket.on('data', chunk => {
		text += chunk.toString('latin1');
	});
	socket.on('error', () => {
		wasReset = true;
	});
	return {
		received: new Promise(resolve => {
			socket.on('close', () => {
				resolve({text, wasReset});
			});
		}),
		countBytes: () => text.length,
	};
}

/** Whether a caller takes a response for a whole one. */
function looksComplete({text, wasReset}: Received): boolean {
	const bodyStart = text.indexOf('\r\n\r\n') + 4;
	const head = text.slice(0, bodyStart).toLowerCase();
	if (head.includes('transfer-encoding: chunked')) {
		return text.endsWith('\r\n0\r\n\r\n');
	}

	const length = /content-length: (\d+)/.exec(head)?.[1];
	return length === undefined ? !wasReset : text.length - bodyStart === Number(length);
}

// MIXED (issue 40): a response without a length that was under way when its host was killed ended regularly, and only the end of its connection delimited it.
for (const line of ['', 'Connection: close', 'Transfer-Encoding: chunked', `Content-Length: ${WHOLE_BYTES}`]) {
	test(`a response that is under way when its host is killed does not look complete: ${line || 'no length'}`, async () => {
		respond = (socket, head) => {
			const body = 'x'.repeat(PART_BYTES);
			socket.write(createHead(head, line) + (line.startsWith('Transfer') ? `${PART_BYTES.toString(16)}\r\n${body}\r\n` : body));
		};

		const {received, countBytes} = request('1.1');
		await waitUntil('the part has arrived', () => countBytes() > PART_BYTES);
		await kill();
		const result = await received;
		assert.ok(result.text.startsWith('HTTP/1.1 200'));
		assert.equal(looksComplete(result), false);
	});

	test(`a streamed response looks complete once it is whole: ${line || 'no length'}`, async () => {
		respond = (socket, head) => {
			const body = 'x'.repeat(WHOLE_BYTES);
			socket.end(createHead(head, line) + (line.startsWith('Transfer') ? `${WHOLE_BYTES.toString(16)}\r\n${body}\r\n0\r\n\r\n` : body));
		};

		const result = await request('1.1', 'Connection: close').received;
		assert.ok(looksComplete(result));
		assert.equal(result.text.split('x').length - 1 >= WHOLE_BYTES, true);
	});
}

test('a streamed response without a length that is reset by its worker does not look complete', async () => {
	respond = (socket, head) => {
		socket.write(createHead(head, '') + 'x'.repeat(PART_BYTES));
		void delay(100).then(() => {
			socket.resetAndDestroy();
		});
	};

	const result = await request('1.1').received;
	assert.ok(result.text.startsWith('HTTP/1.1 200'));
	assert.equal(looksComplete(result), false);
});

// A caller of HTTP/1.0 knows no chunks.
test('a caller of HTTP/1.0 gets a streamed response without a length as its worker sent it', async () => {
	respond = (socket, head) => {
		socket.end(createHead(head, '') + 'x'.repeat(WHOLE_BYTES));
	};

	const {text, wasReset} = await request('1.0').received;
	assert.equal(wasReset, false);
	assert.doesNotMatch(text, /transfer-encoding/i);
	assert.equal(text.length - text.indexOf('\r\n\r\n') - 4, WHOLE_BYTES);
});
