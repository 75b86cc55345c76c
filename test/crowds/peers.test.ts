import {Buffer} from 'node:buffer';
import {testCrowd} from '../fixtures/crowd-test.js';
import type {CrowdTarget} from '../fixtures/host-process.js';

const PEER_PORT = 7620;
const peerAddress = (host: CrowdTarget) => `${host.ip}:${PEER_PORT}`;

function createForwardedHead(framing: string): string {
	return `POST /load/x HTTP/1.1\r\nHost: a.example\r\nX-Forwarded-By-Host: other\r\nRequest-Id: crowd\r\nRequest-Deadline-Ms: 600000\r\n${framing}\r\n\r\n`;
}

const PART = Buffer.alloc(999_900, 'x');
testCrowd({
	title: 'bodies that another host passes on and does not end',
	connections: 250,
	address: peerAddress,
	client(socket) {
		socket.write(createForwardedHead('Content-Length: 1000000'));
		socket.write(PART);
	},
});

const TINY_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(60_000));
testCrowd({
	title: 'bodies in chunks of one byte that another host passes on and does not end',
	connections: 40,
	address: peerAddress,
	client(socket) {
		socket.write(createForwardedHead('Transfer-Encoding: chunked'));
		socket.write(TINY_CHUNKS);
	},
});

testCrowd({
	title: 'bodies of calls between hosts that do not end',
	connections: 100,
	address: peerAddress,
	client(socket) {
		socket.write('POST /catchUp HTTP/1.1\r\nHost: a.example\r\nContent-Type: application/json\r\nContent-Length: 8000000\r\n\r\n');
		socket.write(PART);
		socket.write(PART);
	},
});

const LONG_HEAD = Buffer.from(`GET / HTTP/1.1\r\nHost: a.example\r\nX-Long: ${'x'.repeat(250_000)}`);
testCrowd({
	title: 'heads without an end at the listener for other hosts',
	connections: 800,
	address: peerAddress,
	client(socket) {
		socket.write(LONG_HEAD);
	},
});
