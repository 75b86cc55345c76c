import {createHash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {BodyReadResult, type RequestBody} from './body.js';

/** Characters of a fingerprint: 96 bits, so that nobody can send a request with the fingerprint of another caller's. */
const FINGERPRINT_LENGTH = 16;

/** Identifies a request that a caller sends again under a new id: by the caller's address, the method, host, target and body. Computed on demand, as it is rarely needed. */
export class RequestFingerprint {
	readonly #caller: string;
	#value: string | undefined;

	/** @param body the body; of one that is too long to be buffered, only the length in the headers counts. */
	constructor(private readonly req: IncomingMessage, private readonly body: RequestBody | undefined) {
		this.#caller = req.socket.remoteAddress ?? '';
	}

	get value(): string {
		this.#value ??= this.#compute();
		return this.#value;
	}

	#compute(): string {
		const {method, url, headers} = this.req;
		const isBuffered = this.body?.result === BodyReadResult.Complete;
		const head = [this.#caller, method, headers.host, url, isBuffered ? undefined : headers['content-length']];
		const hash = createHash('sha256').update(JSON.stringify(head));
		if (isBuffered) {
			hash.update(this.body.bytes);
		}

		return hash.digest('base64url').slice(0, FINGERPRINT_LENGTH);
	}
}
