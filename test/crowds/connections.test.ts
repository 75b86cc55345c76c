import {directoryAddress, readinessAddress} from '@apricotwood/platform/standin';
import {testCrowd} from '../fixtures/crowd-test.js';
import type {CrowdTarget} from '../fixtures/host-process.js';

const MACHINE = {memory_mb: 200, max_fds: 500};
const METRICS_PORT = 9464;
const PEER_PORT = 7620;
const LISTENERS: ReadonlyArray<readonly [name: string, address: (host: CrowdTarget) => string]> = [
	['callers', host => host.callerAddress],
	['other hosts', host => `${host.ip}:${PEER_PORT}`],
	['readiness', host => readinessAddress(host.ip)],
	['the directory', host => directoryAddress(host.ip)],
	['metrics', host => `${host.ip}:${METRICS_PORT}`],
];
for (const [name, address] of LISTENERS) {
	testCrowd({
		title: `one byte, then nothing: connections to the listener for ${name}`,
		machine: MACHINE,
		connections: 1200,
		address,
		client(socket) {
			socket.write('G');
		},
	});
}
