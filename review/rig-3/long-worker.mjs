// A worker as a process of its own, whose answers have no length and end with their connection.
// Arguments: IP address, id. Writes its port, and a line as each answer begins, to standard output.
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import process from 'node:process';
import {PIECE_BYTES, PIECE_COUNT, PIECE_INTERVAL_MS} from './long-answer.mjs';

const [ip, id] = process.argv.slice(2);

const server = createServer((req, res) => {
	if (req.url === '/health') {
		res.writeHead(200, {'instance-id': id, 'content-length': 0});
		res.end();
		return;
	}

	req.resume();
	// No length and no chunks: the end of the connection ends the body.
	res.useChunkedEncodingByDefault = false;
	res.writeHead(200, {'request-id': req.headers['request-id'], 'server-signature': `sig-${id}`, connection: 'close'});
	console.log(`answers ${req.headers['request-id']}`);
	let sent = 0;
	const timer = setInterval(() => {
		res.write(Buffer.alloc(PIECE_BYTES, sent % 256));
		sent++;
		if (sent === PIECE_COUNT) {
			clearInterval(timer);
			res.end();
		}
	}, PIECE_INTERVAL_MS);
});
server.listen(0, ip, () => {
	console.log(`port ${server.address().port}`);
});
