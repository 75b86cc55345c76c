import {Buffer} from 'node:buffer';
import {testCrowd} from '../fixtures/crowd-test.js';

const KIB = 1024;
/** Bytes that a client holds back: its body never ends. */
const MISSING_BYTES = 100;

function createHead(framing: string): string {
	return `POST /load/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: crowd\r\nRequest-Deadline-Ms: 600000\r\n${framing}\r\n\r\n`;
}

const CHUNKED_HEAD = createHead('Transfer-Encoding: chunked');

function createChunks(bytes: number, count: number): Buffer {
	return Buffer.from(`${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`.repeat(count));
}

const TINY_CHUNKS = createChunks(1, 60_000);
testCrowd({
	title: 'chunked bodies in chunks of one byte that do not end',
	connections: 40,
	client(socket) {
		socket.write(CHUNKED_HEAD);
		socket.write(TINY_CHUNKS);
	},
});

const LARGE_CHUNKS = createChunks(64 * KIB, 15);
testCrowd({
	title: 'chunked bodies in large chunks that do not end',
	connections: 200,
	client(socket) {
		socket.write(CHUNKED_HEAD);
		socket.write(LARGE_CHUNKS);
	},
});

const MANY_TINY_CHUNKS = createChunks(1, 300_000);
testCrowd({
	title: 'chunked bodies that pause in chunks of one byte behind their first megabyte',
	connections: 40,
	client(socket) {
		socket.write(CHUNKED_HEAD);
		socket.write(createChunks(64 * KIB, 17));
		socket.write(MANY_TINY_CHUNKS);
	},
});

for (const [bytes, connections] of [[1_000_000, 250], [8_000_000, 60]] as const) {
	const head = createHead(`Content-Length: ${bytes}`);
	const part = Buffer.alloc(bytes - MISSING_BYTES, 'x');
	testCrowd({
		title: `bodies of ${bytes} bytes at once, all but the last ${MISSING_BYTES}`,
		connections,
		client(socket) {
			socket.write(head);
			socket.write(part);
		},
	});
}

const PIECE_BYTES = 10_000;
const PIECED_BYTES = 1_000_000;
testCrowd({
	title: 'bodies of legal size piece by piece, all but their end',
	connections: 250,
	client(socket) {
		socket.write(createHead(`Content-Length: ${PIECED_BYTES}`));
		const piece = Buffer.alloc(PIECE_BYTES, 'x');
		let sent = 0;
		const timer = setInterval(() => {
			sent += PIECE_BYTES;
			if (sent >= PIECED_BYTES || socket.destroyed) {
				clearInterval(timer);
				return;
			}

			socket.write(piece);
		}, 20);
	},
});
