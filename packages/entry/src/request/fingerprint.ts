import {createHash} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {BodyReadResult, type RequestBody} from './body.js';

/** Characters of a fingerprint: 96 bits, so that nobody can create a request with the fingerprint of another one. */
const FINGERPRINT_LENGTH = 16;

/** Identifies a request that comes again under a new id, also from another address: by its method, host, target and body. Computed on demand, as it is rarely needed. */
export class RequestFingerprint {
	/** Length of the body that it keeps, bytes. */
	readonly bodyBytes: number;
	readonly #parts: ReadonlyArray<string | undefined>;
	#body: Uint8Array | undefined;
	#value: string | undefined;

	/** @param body the body; of one that is too long to be buffered, only the length in the headers counts. */
	constructor({method, url, headers}: IncomingMessage, body: RequestBody | undefined) {
		const isUnbuffered = body?.result === BodyReadResult.Unbuffered;
		this.#parts = [method, headers.host, url, isUnbuffered ? headers['content-length'] : undefined];
		this.#body = isUnbuffered ? undefined : body?.bytes;
		this.bodyBytes = this.#body?.length ?? 0;
	}

	get value(): string {
		this.#value ??= this.#compute();
		return this.#value;
	}

	#compute(): string {
		const hash = createHash('sha256').update(JSON.stringify(this.#parts));
		if (this.#body) {
			hash.update(this.#body);
			this.#body = undefined;
		}

		return hash.digest('base64url').slice(0, FINGERPRINT_LENGTH);
	}
}
