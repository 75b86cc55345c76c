import assert from 'node:assert/strict';
import {Agent, request as httpRequest} from 'node:http';
import type {Socket} from 'node:net';
import {after, before, test} from 'node:test';
import {RawWorker} from '../fixtures/raw-worker.js';
import {waitUntil, type TestEntryHost} from '../fixtures/test-entry-host.js';
import {TestHostSetup} from '../fixtures/test-host-setup.js';

let host: TestEntryHost;
let respond: (socket: Socket, id: string) => void = () => {};
const worker = new RawWorker((socket, _request, head) => {
	const id = /request-id: (\S+)/i.exec(head)?.[1] ?? '';
	if (head.startsWith('GET /health')) {
		socket.write('HTTP/1.1 200 OK\r\nInstance-Id: w1\r\nContent-Length: 0\r\n\r\n');
	} else {
		respond(socket, id);
	}
});
const setup = new TestHostSetup({worker});

before(async () => {
	await setup.start();
	host = await setup.startHost('127.0.0.76');
});

after(async () => setup.stop());

const ODD_HEADERS = [
	['two Connection lines', 'Connection: keep-alive\r\nConnection: x-hop\r\nX-Hop: 1\r\n'],
	['a value in UTF-8', 'X-Name: \u20AC\r\n'],
	['a value in Latin-1', 'X-Name: caf\u00E9\r\n'],
	['a value that is empty', 'X-Name:\r\n'],
	['two ids of the worker', 'Server-Load: 1,0,4\r\nServer-Load: 2,0,4\r\n'],
	['a very long value', `X-Name: ${'x'.repeat(15_000)}\r\n`],
	['a name that objects have', '__proto__: x\r\nconstructor: y\r\n'],
] as const;
for (const [name, lines] of ODD_HEADERS) {
	// LOST: two `Connection` lines made the host close the caller's connection without an answer.
	test(`a response with odd headers reaches its caller: ${name}`, async () => {
		const encoding = name === 'a value in Latin-1' ? 'latin1' : 'utf8';
		respond = (socket, id) => {
			socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Signature: s\r\n${lines}Content-Length: 4\r\n\r\nbody`, encoding);
		};

		const {status, body, headers} = await host.send('/book/x', {method: 'POST'});
		assert.deepEqual([status, body], [200, 'body']);
		assert.equal(headers['x-hop'], undefined);
	});
}

// ORDER (report of another operator): what a cut head left behind was taken for the next answer on the caller's connection.
test('after a response whose head was cut, the next one on the connection of the caller is its own', async () => {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	const [ip, port] = host.settings.entry.self.callerAddress.split(':');
	const statuses: Array<number | undefined> = [];
	for (let index = 0; index < 20; index++) {
		const isCut = index % 2 === 0;
		respond = (socket, id) => {
			const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nServer-Signature: s\r\nContent-Length: ${id.length}\r\n\r\n`;
			if (isCut) {
				socket.end(head.slice(0, 20 + (index * 3)));
			} else {
				socket.write(head + id);
			}
		};

		const id = `order-${index}`;
		const {status, body} = await new Promise<{status: number | undefined; body: string}>((resolve, reject) => {
			const req = httpRequest({
				host: ip!, port: Number(port), path: '/book/x', method: 'POST', agent, headers: {host: 'a.example', 'request-id': id, 'request-deadline-ms': '1400'},
			}, res => {
				let text = '';
				res.on('data', chunk => {
					text += String(chunk);
				});
				res.on('end', () => {
					resolve({status: res.statusCode, body: text});
				});
			});
			req.on('error', reject);
			req.end();
		});
		statuses.push(status);
		assert.ok(status !== 200 || (!isCut && body === id), `${id} was answered ${status}: ${body}`);
	}

	agent.destroy();
	assert.ok(statuses.includes(200));
	assert.ok(statuses.includes(502));
});
