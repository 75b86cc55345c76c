import type {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {StoredResponse} from '@apricotwood/once';
import type {Attempt, ResponseHead} from '../upstream/attempt.js';
import {createResponseHeaders, cutResponse} from './response.js';
import {ResponseRecorder} from './response-recorder.js';

/** Options of a {@link ResponseRelay}. */
export type ResponseRelayOptions = {
	readonly hostId: string;
	/** Size up to which the body of the response is kept for repeats, bytes. */
	readonly maxStoredBytes: number;
};

/** Passes the response of one attempt on to the caller, as fast as it reads, and keeps it for repeats of the request. */
export class ResponseRelay {
	readonly #recorder: ResponseRecorder;
	#attempt: Attempt | undefined;
	#headers: string[] = [];
	#status = 0;

	constructor(private readonly res: ServerResponse, private readonly options: ResponseRelayOptions) {
		this.#recorder = new ResponseRecorder(options.maxStoredBytes);
	}

	/** Attempt whose response is passed on; `undefined` before `begin`. */
	get attempt(): Attempt | undefined {
		return this.#attempt;
	}

	/** Whether the caller has been sent the head of a response. */
	get hasStarted(): boolean {
		return this.res.headersSent;
	}

	/** Passes on the response of an attempt, from its head. @param worker name of the worker. */
	begin(attempt: Attempt, worker: string, head: ResponseHead): void {
		this.#attempt = attempt;
		this.#status = head.status;
		this.#headers = createResponseHeaders(head.headers, worker, this.options.hostId);
		if (!this.res.destroyed) {
			this.res.writeHead(head.status, this.#headers);
		}
	}

	/** Passes on a part of the body. @returns whether the attempt may continue; it is resumed otherwise when the caller has read. */
	write(attempt: Attempt, chunk: Buffer): boolean {
		if (attempt !== this.#attempt) {
			return true;
		}

		this.#recorder.record(chunk);
		if (this.res.destroyed || this.res.write(chunk)) {
			return true;
		}

		this.res.once('drain', () => {
			attempt.resume();
		});
		return false;
	}

	/** Continues the attempt without a caller, who no longer applies backpressure. */
	continueWithoutCaller(): void {
		this.#attempt?.resume();
	}

	end(): void {
		this.res.end();
	}

	/** Breaks the response off. */
	cut(): void {
		cutResponse(this.res);
	}

	/** Creates the response to store for repeats; `undefined` if its body was too long. */
	createStoredResponse(): StoredResponse | undefined {
		return this.#recorder.createResponse(this.#status, this.#headers);
	}
}
