import {createHash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {BodyReadResult, type RequestBody} from './body.js';

/** Characters of a fingerprint: 96 bits, so that nobody can create a request with the fingerprint of another one. */
const FINGERPRINT_LENGTH = 16;

/** Identifies a request that comes again under a new id, also from another address: by its method, host, target and body. Computed on demand, as it is rarely needed. */
export class RequestFingerprint {
	#value: string | undefined;

	/** @param body the body; of one that is too long to be buffered, only the length in the headers counts. */
	constructor(private readonly req: IncomingMessage, private readonly body: RequestBody | undefined) {}

	get value(): string {
		this.#value ??= this.#compute();
		return this.#value;
	}

	#compute(): string {
		const {method, url, headers} = this.req;
		const isUnbuffered = this.body?.result === BodyReadResult.Unbuffered;
		const hash = createHash('sha256').update(JSON.stringify([method, headers.host, url, isUnbuffered ? headers['content-length'] : undefined]));
		if (this.body && !isUnbuffered) {
			hash.update(this.body.bytes);
		}

		return hash.digest('base64url').slice(0, FINGERPRINT_LENGTH);
	}
}
