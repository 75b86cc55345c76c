import type {Buffer} from 'node:buffer';
import {BodyBuffer} from '@apricotwood/admission';
import type {StoredResponse} from '@apricotwood/once';

/** Keeps the body of a response for repeats of its request, up to a size. */
export class ResponseRecorder {
	/** Costs what it contains, also if the upstream sends chunks of one byte. */
	readonly #body = new BodyBuffer();
	#bytes = 0;

	/** @param maxBytes size above which a body is not kept. */
	constructor(private readonly maxBytes: number) {}

	record(chunk: Buffer): void {
		this.#bytes += chunk.length;
		if (this.#bytes <= this.maxBytes) {
			this.#body.push(chunk);
		} else {
			this.#body.clear();
		}
	}

	/** Creates the stored response; `undefined` if its body was too long. @param headers alternating names and values. */
	createResponse(status: number, headers: string[]): StoredResponse | undefined {
		return this.#bytes <= this.maxBytes ? {status, headers, body: this.#body.takeAll()} : undefined;
	}
}
