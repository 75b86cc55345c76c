import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {LongBody, type HeldBytes} from '@apricotwood/admission';

/** Result of reading a request body. */
export enum BodyReadResult {
	/** The complete body was read. */
	Complete = 'complete',
	/** Longer than the buffer limit; the rest is read while the request waits or is sent. */
	Unbuffered = 'unbuffered',
	/** Longer than the maximum body size that callers may send. */
	TooLong = 'too-long',
	/** The connection ended before the body was complete. */
	Broken = 'broken',
}

/** Request body, as far as it was read. */
export type RequestBody = {
	readonly result: BodyReadResult;
	/** Bytes that have been read. */
	readonly bytes: Buffer;
	/** What follows these bytes, if the body is too long to be buffered; to be released when the request has ended. */
	readonly rest?: LongBody;
};

/** Largest body, in bytes, that is buffered before a worker is chosen; a buffered body can be sent again by a retry. */
const MAX_BUFFERED_BODY_BYTES = 1024 * 1024;

/** Returns whether a request's headers announce a body. */
export function hasBody({headers}: IncomingMessage): boolean {
	return headers['transfer-encoding'] !== undefined || (headers['content-length'] ?? '0') !== '0';
}

/**
 * Reads a body up to the buffer limit.
 * @param maxBytes maximum body size that callers may send, bytes.
 * @param held counts what the host holds of longer bodies.
 */
export async function readBody(req: IncomingMessage, maxBytes: number, held: HeldBytes): Promise<RequestBody> {
	const length = Number(req.headers['content-length'] ?? 0);
	if (length > maxBytes) {
		return {result: BodyReadResult.TooLong, bytes: Buffer.alloc(0)};
	}

	if (length > MAX_BUFFERED_BODY_BYTES) {
		return {result: BodyReadResult.Unbuffered, bytes: Buffer.alloc(0), rest: new LongBody(req, 0, maxBytes, held)};
	}

	const chunks: Buffer[] = [];
	let bytes = 0;
	return new Promise(resolve => {
		const settle = (result: BodyReadResult) => {
			req.off('data', onData);
			req.off('end', onEnd);
			req.off('close', onClose);
			resolve({result, bytes: Buffer.concat(chunks), ...(result === BodyReadResult.Unbuffered && {rest: new LongBody(req, bytes, maxBytes, held)})});
		};

		const onData = (chunk: Buffer) => {
			chunks.push(chunk);
			bytes += chunk.length;
			if (bytes > maxBytes) {
				settle(BodyReadResult.TooLong);
			} else if (bytes > MAX_BUFFERED_BODY_BYTES) {
				settle(BodyReadResult.Unbuffered);
			}
		};

		const onEnd = () => {
			settle(BodyReadResult.Complete);
		};

		const onClose = () => {
			settle(req.complete ? BodyReadResult.Complete : BodyReadResult.Broken);
		};

		req.on('data', onData);
		req.on('end', onEnd);
		req.on('close', onClose);
	});
}

/** Streams a long body: the part that has been read, then the rest as it arrives. @throws as `LongBody.stream`. */
export async function * streamBody(prefix: Buffer, rest: LongBody): AsyncGenerator<Buffer> {
	if (prefix.length > 0) {
		yield prefix;
	}

	yield * rest.stream();
}
