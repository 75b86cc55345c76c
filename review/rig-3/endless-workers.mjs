// Workers whose answers have no end, several in one thread: a whole head, and chunks of one byte until the caller closes.
import {Buffer} from 'node:buffer';
import {createServer} from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';

const BLOCK = Buffer.from('1\r\nx\r\n'.repeat(11_000));
/** Blocks that are written in one turn. */
const BLOCKS_PER_TURN = 32;

function sendEndlessly(socket) {
	if (socket.destroyed) {
		return;
	}

	for (let count = 0; count < BLOCKS_PER_TURN; count++) {
		if (!socket.write(BLOCK)) {
			socket.once('drain', () => sendEndlessly(socket));
			return;
		}
	}

	setImmediate(() => sendEndlessly(socket));
}

function answer(socket, head, id) {
	const requestId = /request-id: *(\S+)/i.exec(head)?.[1];
	if (head.startsWith('GET /health ')) {
		socket.end(`HTTP/1.1 200 OK\r\nInstance-Id: ${id}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`);
		return;
	}

	const start = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nServer-Signature: sig-${id}\r\n`;
	if (workerData.isEndless) {
		socket.write(`${start}Transfer-Encoding: chunked\r\n\r\n`);
		sendEndlessly(socket);
	} else {
		socket.end(`${start}Content-Length: 5\r\nConnection: close\r\n\r\nwhole`);
	}
}

for (const {id, ip} of workerData.workers) {
	const server = createServer(socket => {
		let head = '';
		socket.on('error', () => {});
		socket.on('data', data => {
			if (!head.includes('\r\n\r\n')) {
				head += data.toString('latin1');
				if (head.includes('\r\n\r\n')) {
					answer(socket, head, id);
				}
			}
		});
	});
	server.listen(0, ip, () => {
		parentPort.postMessage({id, address: `${ip}:${server.address().port}`});
	});
}
