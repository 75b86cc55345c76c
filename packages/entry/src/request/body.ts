import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {
	BodyBuffer, BodyFlow, LongBody, type BodyHolding, type HeldBytes, type ReadPacer,
} from '@apricotwood/admission';

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
	/** Reading was aborted by the signal. */
	Stopped = 'stopped',
}

/** Request body, as far as it was read. */
export type RequestBody = {
	readonly result: BodyReadResult;
	/** Bytes that have been read. */
	readonly bytes: Buffer;
	/** What follows these bytes, if the body is too long to be buffered; to be released when the request has ended. */
	readonly rest?: LongBody;
};

/** Options of `readBody`. */
export type BodyReadOptions = {
	/** Maximum body size that callers may send, bytes. */
	readonly maxBytes: number;
	/** Counts what the host holds of longer bodies. */
	readonly held: HeldBytes;
	/** Counts what this body holds; a body that was read stays counted until its request ends. */
	readonly holding: BodyHolding;
	/** Shares the turns of the event loop among the bodies of the host. */
	readonly pacer: ReadPacer;
	/** Aborted when the body is waited for no longer. */
	readonly signal: AbortSignal;
};

/** Largest body, in bytes, that is buffered before a worker is chosen; a buffered body can be sent again by a retry. */
const MAX_BUFFERED_BODY_BYTES = 1024 * 1024;
const NO_BYTES = Buffer.alloc(0);

/** Reads a body up to the buffer limit. */
export async function readBody(req: IncomingMessage, {maxBytes, held, holding, pacer, signal}: BodyReadOptions): Promise<RequestBody> {
	const length = Number(req.headers['content-length'] ?? 0);
	if (length > maxBytes) {
		return {result: BodyReadResult.TooLong, bytes: NO_BYTES};
	}

	const flow = new BodyFlow(req, pacer);
	if (length > MAX_BUFFERED_BODY_BYTES) {
		return {result: BodyReadResult.Unbuffered, bytes: NO_BYTES, rest: new LongBody(flow, {maxBytes, held, holding})};
	}

	const buffer = new BodyBuffer();
	holding.beginBody();
	return new Promise(resolve => {
		const settle = (result: BodyReadResult) => {
			req.off('data', onData);
			req.off('end', onEnd);
			req.off('close', onClose);
			signal.removeEventListener('abort', onAbort);
			holding.endBody();
			resolve(createBody(result));
		};

		const createBody = (result: BodyReadResult): RequestBody => {
			const {bytes} = buffer;
			if (result === BodyReadResult.Complete) {
				return {result, bytes: buffer.takeAll()};
			}

			if (result === BodyReadResult.Unbuffered) {
				return {result, bytes: buffer.takeAll(), rest: new LongBody(flow, {receivedBytes: bytes, maxBytes, held, holding})};
			}

			holding.hold(-bytes);
			return {result, bytes: NO_BYTES};
		};

		const onData = (chunk: Buffer) => {
			buffer.push(chunk);
			holding.hold(chunk.length);
			if (signal.aborted) {
				return;
			}

			if (buffer.bytes > maxBytes) {
				settle(BodyReadResult.TooLong);
			} else if (buffer.bytes > MAX_BUFFERED_BODY_BYTES) {
				settle(BodyReadResult.Unbuffered);
			}
		};

		const onEnd = () => {
			settle(BodyReadResult.Complete);
		};

		const onClose = () => {
			settle(req.complete ? BodyReadResult.Complete : BodyReadResult.Broken);
		};

		const onAbort = () => {
			settle(BodyReadResult.Stopped);
		};

		req.on('data', onData);
		req.on('end', onEnd);
		req.on('close', onClose);
		signal.addEventListener('abort', onAbort);
	});
}

/** Streams a long body: the part that has been read, then the rest as it arrives. @throws as `LongBody.stream`. */
export async function * streamBody(prefix: Buffer, rest: LongBody): AsyncGenerator<Buffer> {
	if (prefix.length > 0) {
		yield prefix;
	}

	yield * rest.stream();
}
