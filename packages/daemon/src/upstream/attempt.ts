import {Buffer} from 'node:buffer';
import type {LongBody} from '@apricotwood/admission';
import {errors, type Dispatcher} from 'undici';
import {AttemptEvent, AttemptLifecycle, AttemptPhase} from '../request/attempt-lifecycle.js';
import {RejectionCode} from '../request/rejection.js';
import {HeaderName, isEndToEnd, readConnectionOptions} from '../request/headers.js';

/** Largest status of a response. The parser passes on any number of three digits. */
const MAX_STATUS = 599;

/** Request that one attempt sends. */
export type AttemptRequest = {
	readonly method: string;
	readonly path: string;
	/** Alternating names and values. */
	readonly headers: string[];
	/** Buffered body, or one that is streamed as it arrives. */
	readonly body: Buffer | LongBody | undefined;
	/** Id unique to this attempt; a response that echoes a different id belongs to another attempt. */
	readonly attemptId: string;
	/** Whether the target is a peer, whose apricotwood headers are relayed. */
	readonly isPeer: boolean;
};

/** Head of a response; `headers` contains end-to-end headers only. */
export type ResponseHead = {
	readonly status: number;
	/** Alternating names and values. */
	readonly headers: string[];
	readonly parsedHeaders: Readonly<Record<string, string | string[] | undefined>>;
};

/** Failure of an attempt. */
export type AttemptFailure = {
	readonly code: RejectionCode;
	/** Whether the request may have run. */
	readonly mayHaveRun: boolean;
	/** Whether the response had already started. */
	readonly hadResponse: boolean;
	readonly message: string;
};

/** Receives the events of an attempt. The last one is `onEnd` or `onFail`, unless the attempt is cancelled. */
export interface AttemptListener {
	onHead(attempt: Attempt, head: ResponseHead): void;
	/** @returns whether to continue reading; otherwise the listener must call `resume`. */
	onData(attempt: Attempt, chunk: Buffer): boolean;
	onEnd(attempt: Attempt): void;
	onFail(attempt: Attempt, failure: AttemptFailure): void;
}

/** One HTTP exchange with an upstream or a peer, on a connection that it uses exclusively. */
export class Attempt implements Dispatcher.DispatchHandler {
	readonly #lifecycle = new AttemptLifecycle();
	#controller: Dispatcher.DispatchController | undefined;
	#wasSent = false;
	#abortCode: RejectionCode | undefined;

	constructor(
		readonly target: string,
		private readonly request: AttemptRequest,
		private readonly listener: AttemptListener,
	) {}

	get phase(): AttemptPhase {
		return this.#lifecycle.phase;
	}

	/** Whether bytes of the request may have been sent. */
	get wasSent(): boolean {
		return this.#wasSent;
	}

	start(dispatcher: Dispatcher): void {
		const {method, path, headers, body} = this.request;
		dispatcher.dispatch({
			method,
			path,
			headers,
			body: toDispatchBody(body) as Dispatcher.DispatchOptions['body'],
		}, this);
	}

	/** Cancels the attempt and closes its connection, without further events. */
	cancel(): void {
		if (this.#lifecycle.send(AttemptEvent.Cancel)) {
			this.#controller?.abort(new Error('cancelled'));
		}
	}

	/** Fails the attempt with `code` and closes its connection. */
	abort(code: RejectionCode): void {
		this.#abortCode ??= code;
		if (this.#controller) {
			this.#controller.abort(new Error(code));
			return;
		}

		this.#fail(code, code);
	}

	resume(): void {
		this.#controller?.resume();
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (!this.#lifecycle.send(AttemptEvent.Send)) {
			controller.abort(new Error('cancelled'));
			return;
		}

		this.#wasSent = true;
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, parsedHeaders: Record<string, string | string[]>): void {
		if (status < 200) {
			return;
		}

		const echoedAttemptId = parsedHeaders[HeaderName.Attempt];
		if (echoedAttemptId !== undefined && echoedAttemptId !== this.request.attemptId) {
			this.abort(RejectionCode.UpstreamMismatch);
			return;
		}

		if (status > MAX_STATUS) {
			this.abort(RejectionCode.UpstreamReset);
			return;
		}

		if (!isFramed(this.request.method, status, parsedHeaders)) {
			this.abort(RejectionCode.UpstreamUnframed);
			return;
		}

		if (this.#lifecycle.send(AttemptEvent.Respond)) {
			this.listener.onHead(this, {status, headers: this.#copyResponseHeaders(parsedHeaders), parsedHeaders});
		}
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		// When it is resumed, the parser reports no bytes at first; its end may follow, so it must not be paused again for them.
		if (this.phase === AttemptPhase.Responding && chunk.length > 0 && !this.listener.onData(this, chunk)) {
			controller.pause();
		}
	}

	onResponseEnd(): void {
		if (this.#lifecycle.send(AttemptEvent.End)) {
			this.listener.onEnd(this);
		}
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
		this.#fail(this.#abortCode ?? this.#classify(error), error.message);
	}

	#fail(code: RejectionCode, message: string): void {
		const hadResponse = this.phase === AttemptPhase.Responding;
		if (this.#lifecycle.send(AttemptEvent.Fail)) {
			this.listener.onFail(this, {
				code, message, hadResponse, mayHaveRun: this.#wasSent,
			});
		}
	}

	#classify(error: Error): RejectionCode {
		if (!this.#wasSent) {
			return this.request.isPeer ? RejectionCode.PeerUnreachable : RejectionCode.UpstreamUnreachable;
		}

		if (error instanceof errors.BodyTimeoutError) {
			return RejectionCode.UpstreamStalled;
		}

		return this.phase === AttemptPhase.Responding ? RejectionCode.UpstreamTruncated : RejectionCode.UpstreamReset;
	}

	/** Copies the end-to-end headers of a response; drops `apricotwood-` headers of workers. */
	#copyResponseHeaders(parsedHeaders: Readonly<Record<string, string | string[]>>): string[] {
		const headers: string[] = [];
		const connectionOptions = readConnectionOptions(parsedHeaders.connection);
		for (const [name, value] of Object.entries(parsedHeaders)) {
			const isReserved = !this.request.isPeer && name.startsWith('apricotwood-');
			if (isReserved || !isEndToEnd(name, connectionOptions)) {
				continue;
			}

			if (typeof value === 'string') {
				headers.push(name, value);
				continue;
			}

			for (const item of value) {
				headers.push(name, item);
			}
		}

		return headers;
	}
}

/** Whether the end of a response is marked. A response that ends with its connection cannot be distinguished from a truncated one. */
function isFramed(method: string, status: number, parsedHeaders: Readonly<Record<string, string | string[]>>): boolean {
	return method === 'HEAD' || status === 204 || status === 304
		|| parsedHeaders['content-length'] !== undefined || isChunked(parsedHeaders['transfer-encoding']);
}

/** Whether chunks are the last coding of a response, which marks its end; no other coding does. */
function isChunked(coding: string | string[] = []): boolean {
	return /(?:^|,)\s*chunked\s*$/i.test(String(coding));
}

/** Converts a body for undici. */
function toDispatchBody(body: AttemptRequest['body']): Buffer | AsyncIterable<Buffer> | null {
	if (body === undefined) {
		return null;
	}

	return Buffer.isBuffer(body) ? body : body.stream();
}
