import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {sendRepeatedly} from '../fixtures/crowd.js';
import {KNOWN_RED, MACHINE, PATIENT_LIMITS, testCrowd} from '../fixtures/crowd-test.js';
import {HostProcess} from '../fixtures/host-process.js';
import {RawWorker} from '../fixtures/raw-worker.js';

const REQUEST = 'GET /faulty/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: crowd\r\nRequest-Deadline-Ms: 600000\r\n\r\n';
/** Callers of the worker. */
const CALLERS = 60;
const STATUS_LINE = 'HTTP/1.1 200 OK\r\n';
const SIGNED_HEAD = `${STATUS_LINE}Request-Id: crowd\r\nServer-Signature: s\r\n`;
const CHUNKED_HEAD = `${SIGNED_HEAD}Transfer-Encoding: chunked\r\n\r\n`;
const TINY_CHUNKS = '1\r\nx\r\n'.repeat(10_000);

type FaultyResponse = {
	readonly name: string;
	readonly start: string;
	/** Sent again and again behind `start`. */
	readonly part: string;
	/** Bytes after which the worker sends no more, and leaves the connection open. @default Infinity */
	readonly maxBytes?: number;
	/** Whether the callers read nothing. @default false */
	readonly isUntaken?: boolean;
	readonly todo?: string;
};

const RESPONSES: readonly FaultyResponse[] = [
	{name: 'bytes that are no response', start: '', part: '\u0000\u0001garbage'.repeat(1000)},
	{name: 'a reason phrase without end', start: 'HTTP/1.1 200 ', part: 'O'.repeat(10_000)},
	{name: 'header lines without end', start: SIGNED_HEAD, part: `X-Part: ${'x'.repeat(1000)}\r\n`.repeat(10)},
	{name: 'informational responses without end', start: '', part: 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(100)},
	{name: 'a body without end', start: `${SIGNED_HEAD}\r\n`, part: 'x'.repeat(100_000)},
	{
		name: 'a body without end that no caller takes', start: `${SIGNED_HEAD}\r\n`, part: 'x'.repeat(100_000), isUntaken: true, todo: KNOWN_RED,
	},
	{name: 'a body without end that names no request', start: `${STATUS_LINE}\r\n`, part: 'x'.repeat(100_000)},
	{name: 'a body without end in chunks of one byte', start: CHUNKED_HEAD, part: TINY_CHUNKS},
	{name: 'a body without end in chunks of one byte that no caller takes', start: CHUNKED_HEAD, part: TINY_CHUNKS, isUntaken: true},
	{name: 'a body in chunks of one byte that stops', start: CHUNKED_HEAD, part: TINY_CHUNKS, maxBytes: 720_000},
	{name: 'a chunk extension without end', start: `${CHUNKED_HEAD}4;x=`, part: 'x'.repeat(10_000)},
	{name: 'trailers without end', start: `${CHUNKED_HEAD}0\r\n`, part: `X-Part: ${'x'.repeat(1000)}\r\n`.repeat(10)},
];

for (const {name, start, part, maxBytes = Infinity, isUntaken = false, todo} of RESPONSES) {
	const bytes = Buffer.from(part, 'latin1');
	const respond = (socket: Socket) => {
		socket.write(start);
		void sendRepeatedly(socket, bytes, maxBytes);
	};

	// A faulty worker sent bytes without end; the host kept them all and ran out of memory.
	testCrowd({
		title: `a worker sends ${name}`,
		todo,
		createHost: machine => new HostProcess(machine, PATIENT_LIMITS, new RawWorker(respond)),
		machine: MACHINE,
		connections: CALLERS,
		client(socket) {
			socket.write(REQUEST);
			if (!isUntaken) {
				socket.resume();
			}
		},
	});
}
