import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {MACHINE, PATIENT_LIMITS} from '../fixtures/crowd-test.js';
import {HostProcess} from '../fixtures/host-process.js';

const CALLERS = 500;
/** Most callers that may wait to be accepted: a host on half of a processor accepts some 300 a second, and serves a caller that has waited for half a second. */
const MAX_WAITING = 150;
/** Time in which the kernel has answered all that it does, ms. */
const CONNECT_MS = 700;

// RECOVER: a host that had just started took none of 1143 new connections in 3.5 s, as it accepted those of callers that had left.
test('callers that a host cannot accept do not queue behind more than it accepts in time', async t => {
	const host = new HostProcess(MACHINE, PATIENT_LIMITS);
	const sockets: Socket[] = [];
	t.after(async () => {
		for (const socket of sockets) {
			socket.destroy();
		}

		await host.stop();
	});
	await host.start();
	host.pause();
	const [ip, port] = host.callerAddress.split(':');
	let connected = 0;
	for (let index = 0; index < CALLERS; index++) {
		const socket = connect({host: ip!, port: Number(port)}, () => {
			connected++;
		});
		socket.on('error', () => {});
		sockets.push(socket);
	}

	await delay(CONNECT_MS);
	const waiting = connected;
	host.resume();
	assert.ok(waiting <= MAX_WAITING, `${waiting} callers wait to be accepted`);
	assert.equal(await host.request(), 200);
});
