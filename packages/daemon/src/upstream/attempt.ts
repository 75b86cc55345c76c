import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {errors, type Dispatcher} from 'undici';
import {AttemptEvent, AttemptLifecycle, AttemptPhase} from '../request/phase.js';
import {Code} from '../request/codes.js';
import {HeaderName, isEndToEnd, readConnectionOptions} from '../request/headers.js';

/** What one attempt sends. */
export type AttemptRequest = {
	readonly method: string;
	readonly path: string;
	/** Names and values in turn. */
	readonly headers: string[];
	/** A whole body, or a caller's stream. */
	readonly body: Buffer | IncomingMessage | undefined;
	/** Unique to this attempt; a worker that echoes another one has crossed two answers. */
	readonly attemptId: string;
	/** Whether the target is a peer, whose own outcome headers are passed on. */
	readonly isPeer: boolean;
};

/** The head of an answer, end-to-end headers only. */
export type AnswerHead = {
	readonly status: number;
	/** Names and values in turn. */
	readonly headers: string[];
	readonly parsed: Readonly<Record<string, string | string[] | undefined>>;
};

/** How an attempt failed. */
export type AttemptFailure = {
	readonly code: Code;
	/** Whether the request may have run. */
	readonly mayHaveRun: boolean;
	/** Whether part of the answer had already been passed on. */
	readonly hadAnswer: boolean;
	readonly message: string;
};

/** What the owner of an attempt is told; exactly one of `onEnd` and `onFail` comes last. */
export interface AttemptListener {
	onHead(attempt: Attempt, head: AnswerHead): void;
	/** @returns whether more may come at once; otherwise the owner calls `resume`. */
	onData(attempt: Attempt, chunk: Buffer): boolean;
	onEnd(attempt: Attempt): void;
	onFail(attempt: Attempt, failure: AttemptFailure): void;
}

/** One exchange with one upstream on one connection of its own. */
export class Attempt implements Dispatcher.DispatchHandler {
	readonly #life = new AttemptLifecycle();
	#controller: Dispatcher.DispatchController | undefined;
	#wasSent = false;
	#cause: Code | undefined;

	constructor(
		readonly target: string,
		private readonly request: AttemptRequest,
		private readonly listener: AttemptListener,
	) {}

	get phase(): AttemptPhase {
		return this.#life.phase;
	}

	/** Whether bytes of the request may have reached the target. */
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

	/** Ends the attempt and its connection; the target sees a cancellation. The listener hears nothing more. */
	cancel(): void {
		if (this.#life.send(AttemptEvent.Cancel)) {
			this.#controller?.abort(new Error('cancelled'));
		}
	}

	/** Fails the attempt and ends its connection. */
	abort(code: Code): void {
		this.#cause ??= code;
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
		if (!this.#life.send(AttemptEvent.Send)) {
			controller.abort(new Error('cancelled'));
			return;
		}

		this.#wasSent = true;
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, parsed: Record<string, string | string[]>): void {
		if (status < 200) {
			return;
		}

		const echoed = parsed[HeaderName.Attempt];
		if (echoed !== undefined && echoed !== this.request.attemptId) {
			this.abort(Code.UpstreamMismatch);
			return;
		}

		if (!isFramed(this.request.method, status, parsed)) {
			this.abort(Code.UpstreamUnframed);
			return;
		}

		if (this.#life.send(AttemptEvent.Answer)) {
			this.listener.onHead(this, {status, headers: this.#copyHeaders(parsed), parsed});
		}
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		if (this.phase === AttemptPhase.Answering && !this.listener.onData(this, chunk)) {
			controller.pause();
		}
	}

	onResponseEnd(): void {
		if (this.#life.send(AttemptEvent.End)) {
			this.listener.onEnd(this);
		}
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
		this.#fail(this.#cause ?? this.#classify(error), error.message);
	}

	#fail(code: Code, message: string): void {
		const hadAnswer = this.phase === AttemptPhase.Answering;
		if (this.#life.send(AttemptEvent.Fail)) {
			this.listener.onFail(this, {
				code, message, hadAnswer, mayHaveRun: this.#wasSent,
			});
		}
	}

	#classify(error: Error): Code {
		if (!this.#wasSent) {
			return this.request.isPeer ? Code.PeerUnreachable : Code.UpstreamUnreachable;
		}

		if (error instanceof errors.BodyTimeoutError) {
			return Code.UpstreamStalled;
		}

		return this.phase === AttemptPhase.Answering ? Code.UpstreamTruncated : Code.UpstreamReset;
	}

	/** End-to-end headers of an answer; a worker's own `apricotwood-` headers stop here. */
	#copyHeaders(parsed: Readonly<Record<string, string | string[]>>): string[] {
		const headers: string[] = [];
		const options = readConnectionOptions(parsed.connection as string | undefined);
		for (const [name, value] of Object.entries(parsed)) {
			const isOwn = !this.request.isPeer && name.startsWith('apricotwood-');
			if (isOwn || !isEndToEnd(name, options)) {
				continue;
			}

			if (typeof value === 'string') {
				headers.push(name, value);
				continue;
			}

			for (const one of value) {
				headers.push(name, one);
			}
		}

		return headers;
	}
}

/** An answer whose end only the closing of its connection would show cannot be told from a cut one. */
function isFramed(method: string, status: number, parsed: Readonly<Record<string, unknown>>): boolean {
	return method === 'HEAD' || status === 204 || status === 304
		|| parsed['content-length'] !== undefined || parsed['transfer-encoding'] !== undefined;
}

/** A caller's stream is iterated, so that a failed attempt does not destroy the caller's connection. */
function toDispatchBody(body: AttemptRequest['body']): Buffer | AsyncIterable<Buffer> | null {
	if (body === undefined) {
		return null;
	}

	return Buffer.isBuffer(body) ? body : body.iterator({destroyOnReturn: false});
}
