import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {
	BodyBuffer, BodyFlow, hasBody, type Intake,
} from '@apricotwood/admission';

/** Result of reading a request body into memory. */
export enum BodyResult {
	Complete = 'whole',
	TooLarge = 'too-large',
	/** The caller's connection closed before the body was complete. */
	Truncated = 'cut',
	/** Reading was aborted by the signal. */
	Stalled = 'stalled',
}

/** Result of {@link readBody}; `body` is `undefined` if the request has no body or reading failed. */
export type BodyReadResult = {readonly result: BodyResult; readonly body: Buffer | undefined};

/**
 * Reads a complete request body of at most `maxBytes` into memory.
 * @param intake counts what the body holds, until its request ends.
 * @param signal aborted if the caller stalls, disconnects or has to give way.
 */
export async function readBody(req: IncomingMessage, maxBytes: number, {guard, pacer}: Intake, signal: AbortSignal): Promise<BodyReadResult> {
	if (!hasBody(req)) {
		return {result: BodyResult.Complete, body: undefined};
	}

	if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
		return {result: BodyResult.TooLarge, body: undefined};
	}

	return new Promise(resolve => {
		const buffer = new BodyBuffer();
		const holding = guard.findHolding(req);
		holding?.beginBody();
		const finish = (result: BodyResult) => {
			req.off('data', onData).off('end', onEnd).off('error', onTruncated).off('close', onTruncated);
			signal.removeEventListener('abort', onAbort);
			holding?.endBody();
			if (result !== BodyResult.Complete) {
				holding?.hold(-buffer.bytes);
			}

			resolve({result, body: result === BodyResult.Complete ? buffer.takeAll() : undefined});
		};

		const onData = (chunk: Buffer) => {
			buffer.push(chunk);
			holding?.hold(chunk.length);
			if (buffer.bytes > maxBytes && !signal.aborted) {
				finish(BodyResult.TooLarge);
			}
		};

		const onEnd = () => {
			finish(BodyResult.Complete);
		};

		const onTruncated = () => {
			finish(BodyResult.Truncated);
		};

		const onAbort = () => {
			finish(BodyResult.Stalled);
		};

		const flow = new BodyFlow(req, pacer);
		flow.req.on('data', onData).on('end', onEnd).on('error', onTruncated).on('close', onTruncated);
		signal.addEventListener('abort', onAbort, {once: true});
	});
}
