import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {HOST_NAME} from './client.mjs';

/**
 * Sends one request on a connection of its own and reads until the connection ends, as an HTTP/1.1 client reads an answer without a length.
 * @param bytesPerS speed of the client's link, bytes a second.
 * @returns what arrived, and how the connection ended: `regular`, an error code, or `deadline`.
 */
export async function fetchToEnd({host, port}, {path, deadlineMs, bytesPerS = Number.POSITIVE_INFINITY}, record) {
	const id = randomBytes(8).toString('hex');
	const sentAtMs = Date.now();
	record.write('client-sends', {request: id, to: `${host}:${port}`, path});
	const socket = connect({host, port});
	socket.write(`GET ${path} HTTP/1.1\r\nHost: ${HOST_NAME}\r\nRequest-Id: ${id}\r\nRequest-Deadline-Ms: ${deadlineMs}\r\n\r\n`);
	let end = 'deadline';
	socket.once('end', () => {
		end = 'regular';
	});
	socket.once('error', ({code}) => {
		end = code;
	});
	const closed = new Promise(resolve => {
		socket.once('close', resolve);
	});
	const chunks = [];
	let bytes = 0;
	const startMs = Date.now();
	socket.on('data', chunk => {
		chunks.push(chunk);
		bytes += chunk.length;
		const waitMs = startMs + (bytes * 1000 / bytesPerS) - Date.now();
		if (waitMs > 0) {
			socket.pause();
			setTimeout(() => socket.resume(), waitMs);
		}
	});
	await Promise.race([closed, delay(deadlineMs)]);
	socket.destroy();
	const answer = Buffer.concat(chunks);
	const headEnd = answer.indexOf('\r\n\r\n');
	const head = answer.subarray(0, Math.max(0, headEnd)).toString('latin1');
	const length = /^content-length: (\d+)/im.exec(head)?.[1];
	const bodyBytes = Math.max(0, answer.length - headEnd - 4);
	const isSuccess = /^HTTP\/1\.1 2/.test(head) && /^server-signature:/im.test(head);
	// Without a length, the regular end of the connection completes the answer.
	const isComplete = isSuccess && !/^transfer-encoding:/im.test(head) && (length === undefined ? end === 'regular' : bodyBytes === Number(length));
	const result = {
		request: id, end, isSuccess, hasLength: length !== undefined, isComplete, bodyBytes, tookMs: Date.now() - sentAtMs,
	};
	record.write('client-gets', result);
	return result;
}
