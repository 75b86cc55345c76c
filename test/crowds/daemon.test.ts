import {Buffer} from 'node:buffer';
import {testCrowd} from '../fixtures/crowd-test.js';
import {DaemonProcess} from '../fixtures/daemon-process.js';

const createHost = (machine: {memory_mb: number; max_fds: number}) => new DaemonProcess(machine);
const MACHINE = {memory_mb: 250, max_fds: 500};

function createHead(method: string, path: string, framing: string): string {
	return `${method} ${path} HTTP/1.1\r\nHost: h1\r\n${framing}\r\n\r\n`;
}

const PART = Buffer.alloc(4_000_000, 'x');
testCrowd({
	title: 'daemon: bodies of operators\' calls that do not end',
	createHost,
	machine: MACHINE,
	connections: 100,
	client(socket) {
		socket.write(createHead('POST', '/v1/agreement/patches', 'Content-Length: 8000000'));
		socket.write(PART);
	},
});

const TINY_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(60_000));
testCrowd({
	title: 'daemon: bodies of operators\' calls in chunks of one byte that do not end',
	createHost,
	machine: MACHINE,
	connections: 40,
	client(socket) {
		socket.write(createHead('POST', '/v1/agreement/patches', 'Transfer-Encoding: chunked'));
		socket.write(TINY_CHUNKS);
	},
});

testCrowd({
	title: 'daemon: bodies of calls between hosts that do not end',
	createHost,
	machine: MACHINE,
	connections: 100,
	client(socket) {
		socket.write(createHead('POST', '/peer/pushVersion', 'Content-Type: application/json\r\nContent-Length: 8000000'));
		socket.write(PART);
	},
});

testCrowd({
	title: 'daemon: one byte, then nothing',
	createHost,
	machine: MACHINE,
	connections: 1200,
	client(socket) {
		socket.write('G');
	},
});

const REQUESTS = Buffer.from('GET /livez HTTP/1.1\r\nHost: h1\r\n\r\n'.repeat(20_000));
testCrowd({
	title: 'daemon: pipelined requests whose answers nobody reads',
	createHost,
	machine: MACHINE,
	connections: 200,
	client(socket) {
		socket.pause();
		socket.write(REQUESTS);
	},
});
