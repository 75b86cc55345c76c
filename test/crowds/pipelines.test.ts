import {Buffer} from 'node:buffer';
import {testCrowd} from '../fixtures/crowd-test.js';

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
	title: 'pipelined requests for no route whose answers nobody reads',
	connections: 100,
	client(socket) {
		socket.pause();
		socket.write(UNKNOWN);
	},
});

// What a closed connection holds is freed only at the end of a turn of the event loop: all of these arrive in one.
const BURST = Buffer.from('GET /nothing HTTP/1.1\r\nHost: a.example\r\n\r\n'.repeat(2000));
testCrowd({
	title: 'pipelined requests that arrive on all connections at once',
	connections: 150,
	isAtOnce: true,
	client(socket) {
		socket.pause();
		socket.write(BURST);
	},
});
