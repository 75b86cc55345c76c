import {Buffer} from 'node:buffer';

/** Head of a request as a worker reads it. */
export type RequestHead = {
	readonly method: string;
	readonly path: string;
	/** Last value of each header, by its name in lower case. */
	readonly headers: ReadonlyMap<string, string>;
	/** Length of the head, bytes. */
	readonly length: number;
};

/** Result of reading a body: the body and its length with its framing, bytes; `undefined` if more has to come. */
export type RequestBody = {readonly body: Buffer; readonly length: number} | undefined;

/** @returns `undefined` if more has to come, `'malformed'` if the bytes are no request. */
export function readRequestHead(bytes: Buffer): RequestHead | 'malformed' | undefined {
	const end = bytes.indexOf('\r\n\r\n');
	if (end === -1) {
		return undefined;
	}

	const [requestLine, ...lines] = bytes.toString('latin1', 0, end).split('\r\n');
	const [, method, path] = /^([A-Z]+) (\S+) HTTP\/1\.1$/.exec(requestLine!) ?? [];
	if (method === undefined || path === undefined) {
		return 'malformed';
	}

	const headers = new Map(lines.map(line => {
		const colon = line.indexOf(':');
		return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
	}));
	return {
		method, path, headers, length: end + 4,
	};
}

/** Reads the body that follows a head. @param bytes what came after the head. */
export function readRequestBody(bytes: Buffer, {headers}: RequestHead): RequestBody {
	if (headers.get('transfer-encoding') !== 'chunked') {
		const length = Number(headers.get('content-length') ?? 0);
		return bytes.length < length ? undefined : {body: bytes.subarray(0, length), length};
	}

	const chunks: Buffer[] = [];
	for (let at = 0; ;) {
		const lineEnd = bytes.indexOf('\r\n', at);
		const size = lineEnd === -1 ? Number.NaN : Number.parseInt(bytes.toString('latin1', at, lineEnd), 16);
		const end = lineEnd + 2 + size + 2;
		if (Number.isNaN(size) || bytes.length < end) {
			return undefined;
		}

		if (size === 0) {
			return {body: Buffer.concat(chunks), length: end};
		}

		chunks.push(bytes.subarray(lineEnd + 2, end - 2));
		at = end;
	}
}
