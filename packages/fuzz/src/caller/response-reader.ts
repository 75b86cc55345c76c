import {Buffer} from 'node:buffer';

/** A response as its bytes say, read without the product's or the platform's parser. */
export type ReadResponse = {
	readonly status: number;
	/** Values by header name in lower case, in order. */
	readonly headers: ReadonlyMap<string, readonly string[]>;
	readonly body: Buffer;
	/** Whether it ended as its framing says. */
	readonly isWhole: boolean;
};

/** How far a response could be read. */
export type ReadResult
	= | {readonly kind: 'more'; readonly partial: ReadResponse | undefined}
		| {readonly kind: 'response'; readonly response: ReadResponse; readonly length: number}
		| {readonly kind: 'malformed'; readonly reason: string};

/** How the sender has left the connection. */
export enum StreamEnd {
	Open = 'open',
	Closed = 'closed',
	Reset = 'reset',
}

const HEAD_END = '\r\n\r\n';
const BODILESS_STATUSES = new Set([204, 304]);

/** Reads the first final response among received bytes; informational ones are passed over. */
export function readResponse(bytes: Buffer, end: StreamEnd): ReadResult {
	let start = 0;
	for (;;) {
		const headEnd = bytes.indexOf(HEAD_END, start);
		if (headEnd === -1) {
			return {kind: 'more', partial: undefined};
		}

		const head = parseHead(bytes.toString('latin1', start, headEnd));
		if (!head) {
			return {kind: 'malformed', reason: `no head of a response: ${JSON.stringify(bytes.toString('latin1', start, start + 40))}`};
		}

		start = headEnd + HEAD_END.length;
		if (head.status >= 200) {
			return readBody(bytes, start, head, end);
		}
	}
}

type Head = Pick<ReadResponse, 'status' | 'headers'>;

function parseHead(text: string): Head | undefined {
	const [statusLine, ...lines] = text.split('\r\n');
	const status = /^HTTP\/1\.[01] (\d{3})(?: .*)?$/.exec(statusLine!)?.[1];
	if (status === undefined) {
		return undefined;
	}

	const headers = new Map<string, string[]>();
	for (const line of lines) {
		const [, name, value] = /^([!#$%&'*+.^_`|~\w-]+):[ \t]*(.*?)[ \t]*$/.exec(line) ?? [];
		if (name === undefined) {
			return undefined;
		}

		headers.set(name.toLowerCase(), [...headers.get(name.toLowerCase()) ?? [], value!]);
	}

	return {status: Number(status), headers};
}

function readBody(bytes: Buffer, start: number, head: Head, end: StreamEnd): ReadResult {
	const {status, headers} = head;
	if (BODILESS_STATUSES.has(status)) {
		return {kind: 'response', response: {...head, body: Buffer.alloc(0), isWhole: true}, length: start};
	}

	const lengths = headers.get('content-length') ?? [];
	const isChunked = headers.get('transfer-encoding')?.join(',').toLowerCase() === 'chunked';
	if ((isChunked && lengths.length > 0) || lengths.length > 1) {
		return {kind: 'malformed', reason: 'two framings of one response'};
	}

	if (isChunked) {
		return readChunks(bytes, start, head);
	}

	const rest = bytes.subarray(start);
	if (lengths.length === 1) {
		const length = Number(lengths[0]);
		return rest.length < length
			? {kind: 'more', partial: {...head, body: rest, isWhole: false}}
			: {kind: 'response', response: {...head, body: rest.subarray(0, length), isWhole: true}, length: start + length};
	}

	return end === StreamEnd.Closed
		? {kind: 'response', response: {...head, body: rest, isWhole: true}, length: bytes.length}
		: {kind: 'more', partial: {...head, body: rest, isWhole: false}};
}

function readChunks(bytes: Buffer, start: number, head: Head): ReadResult {
	const chunks: Buffer[] = [];
	const more = (): ReadResult => ({kind: 'more', partial: {...head, body: Buffer.concat(chunks), isWhole: false}});
	for (let at = start; ;) {
		const lineEnd = bytes.indexOf('\r\n', at);
		if (lineEnd === -1) {
			return more();
		}

		const size = /^([\da-f]+)(?:;.*)?$/i.exec(bytes.toString('latin1', at, lineEnd))?.[1];
		if (size === undefined) {
			return {kind: 'malformed', reason: 'no size of a chunk'};
		}

		const length = Number.parseInt(size, 16);
		at = lineEnd + 2;
		if (length === 0) {
			const trailerEnd = bytes.indexOf('\r\n', at) === at ? at + 2 : bytes.indexOf(HEAD_END, at) + HEAD_END.length;
			return trailerEnd < at + 2 || bytes.length < trailerEnd ? more() : {kind: 'response', response: {...head, body: Buffer.concat(chunks), isWhole: true}, length: trailerEnd};
		}

		chunks.push(bytes.subarray(at, Math.min(at + length, bytes.length)));
		if (bytes.length < at + length + 2) {
			return more();
		}

		at += length + 2;
	}
}
