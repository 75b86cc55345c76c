import {Buffer} from 'node:buffer';
import {KNOWN_RED, testCrowd} from '../fixtures/crowd-test.js';

const PIPELINED_REQUESTS = 5000;
const REQUESTS = Buffer.from('GET /read/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: crowd\r\n\r\n'.repeat(PIPELINED_REQUESTS));
testCrowd({
	title: 'pipelined requests whose answers nobody reads',
	connections: 100,
	client(socket) {
		socket.pause();
		socket.write(REQUESTS);
	},
});

const UNKNOWN = Buffer.from('GET /nothing HTTP/1.1\r\nHost: a.example\r\n\r\n'.repeat(PIPELINED_REQUESTS));
testCrowd({
	todo: KNOWN_RED,
	title: 'pipelined requests for no route whose answers nobody reads',
	connections: 100,
	client(socket) {
		socket.pause();
		socket.write(UNKNOWN);
	},
});
