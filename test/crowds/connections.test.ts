import {directoryAddress, readinessAddress} from '@apricotwood/platform/standin';
import {KNOWN_RED, testCrowd} from '../fixtures/crowd-test.js';
import type {CrowdTarget} from '../fixtures/host-process.js';

const MACHINE = {memory_mb: 200, max_fds: 500};
const METRICS_PORT = 9464;
const PEER_PORT = 7620;
const LISTENERS: ReadonlyArray<readonly [name: string, address: (host: CrowdTarget) => string, todo?: string]> = [
	['callers', host => host.callerAddress],
	['other hosts', host => `${host.ip}:${PEER_PORT}`],
	['readiness', host => readinessAddress(host.ip), KNOWN_RED],
	['the directory', host => directoryAddress(host.ip), KNOWN_RED],
	['metrics', host => `${host.ip}:${METRICS_PORT}`, KNOWN_RED],
];
for (const [name, address, todo] of LISTENERS) {
	testCrowd({
		todo,
		title: `one byte, then nothing: connections to the listener for ${name}`,
		machine: MACHINE,
		connections: 1200,
		address,
		client(socket) {
			socket.write('G');
		},
	});
}
