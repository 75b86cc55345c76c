import type {Buffer} from 'node:buffer';
import type {Readable} from 'node:stream';
import {BodyBuffer} from '@apricotwood/admission';
import type {Clock, Timer} from '@apricotwood/clock';
import type {Dispatcher} from 'undici';
import type {ResponseHeaders, Dialect} from '../dialect.js';
import type {Connection} from './connection.js';
import {GuardedHandler, type ExchangeEvents} from './guarded-handler.js';
import {
	ExchangeEnd, isFramed, isStreamable, type ExchangeResult, type ResponseHead, type ResponseSink,
} from './response.js';

/** A request to a worker. */
export type ExchangeRequest = {
	readonly method: string;
	readonly path: string;
	/** Alternating names and values. */
	readonly headers: string[];
	readonly body: Buffer | Readable | undefined;
	/** Id that the worker echoes; a response with a different id belongs to another request, and so may one without an id on a connection that has carried other requests. */
	readonly requestId: string | undefined;
	/** Whether the request goes to another host, whose own rejections name no request. @default false */
	readonly isPeer?: boolean;
};

/** Takes part in an exchange with a worker. */
export interface ExchangeListener {
	/** Called when the connection is open, before anything is sent. @returns whether the request may still be sent. */
	canSend(): boolean;
	/** Called when the head of the response has arrived, also if the response fails later. */
	onHead(head: ResponseHead): void;
}

/** Largest response body, in bytes, that is buffered completely before any part is forwarded. */
export const MAX_BUFFERED_RESPONSE_BYTES = 128 * 1024;

/** Longest time from the first byte of a response head to its end, ms. A worker sends a head at once; a slower one is not a response. */
const HEAD_TIMEOUT_MS = 1000;
/** Number of informational responses (1xx) that may precede a response. */
const MAX_INFORMATIONAL_RESPONSES = 16;
/** Largest status of a response. The parser passes on any number of three digits. */
const MAX_STATUS = 599;
/** Largest body of a response that cannot reach the caller, in bytes. Such a body is read only so that the connection can be used again. */
const MAX_DISCARDED_BYTES = 16 * 1024;

/** Bytes beyond the body from which a response is given up: more than a head, which the parser bounds, and the receive buffer. */
const MAX_OVERHEAD_BYTES = 256 * 1024;
/** Additional overhead for each byte of the body; covers chunks of one byte. */
const MAX_OVERHEAD_RATIO = 16;

/**
 * Sends one request on a connection and collects or streams its response. `run`
 * resolves exactly once and never rejects.
 *
 * A worker in trouble may send bytes that are no response until the connection
 * is closed. The parser bounds the headers; the time of a head, the number of
 * informational ones, the bytes beside the body and the body of a response that
 * must not be forwarded are bounded here. Other bodies are bounded by the deadline
 * of the request.
 */
export class Exchange implements ExchangeEvents {
	#controller: Dispatcher.DispatchController | undefined;
	#wasSent = false;
	#isSettled = false;
	#isCancelled = false;
	#isMismatched = false;
	#isStreaming = false;
	#head: ResponseHead | undefined;
	/** Body that has not been streamed. A worker may send it in chunks of one byte, each of which would cost a hundred times its size. */
	readonly #buffered = new BodyBuffer();
	#headTimer: Timer | undefined;
	#informationalCount = 0;
	#bodyBytes = 0;
	/** Whether the response must name the request, as the connection has carried others. */
	#isEchoRequired = false;
	/** Bytes received on the connection before this exchange. */
	#receivedBefore = 0;
	#resolve: (result: ExchangeResult) => void = () => {};

	constructor(
		private readonly connection: Connection,
		private readonly request: ExchangeRequest,
		private readonly dialect: Dialect,
		private readonly sink: ResponseSink,
		private readonly clock: Clock,
		private readonly listener?: ExchangeListener,
	) {}

	/** Whether bytes of the request may have reached the worker. */
	get wasSent(): boolean {
		return this.#wasSent;
	}

	/** Whether the head of a response has been received. */
	get hasResponseStarted(): boolean {
		return this.#head !== undefined;
	}

	async run(): Promise<ExchangeResult> {
		const {method, path, headers, body, requestId} = this.request;
		return new Promise(resolve => {
			this.#resolve = resolve;
			this.#isEchoRequired = !this.request.isPeer && this.connection.requestCount > 0;
			this.connection.begin(requestId);
			this.#receivedBefore = this.connection.receivedBytes;
			this.connection.onBytesReceived = () => {
				this.#checkOverhead();
			};

			this.connection.onException = error => {
				this.#settle(this.#classifyError(), error.message, false);
			};

			this.#guard(() => {
				this.connection.client.dispatch({
					method, path, headers, body: body ?? null,
				}, new GuardedHandler(this, error => {
					this.connection.fail(error);
				}));
			});
		});
	}

	/** Cancels the exchange and resets its connection, so that bytes still buffered by this host are dropped instead of being delivered later. */
	cancel(): void {
		this.#isCancelled = true;
		this.#settle(this.#isStreaming ? ExchangeEnd.Truncated : ExchangeEnd.Cancelled, 'request was cancelled by this host', false);
		this.connection.reset();
		this.#guard(() => {
			this.#controller?.abort(new Error('request was cancelled'));
		});
		this.connection.close();
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#isCancelled) {
			controller.abort(new Error('request was cancelled'));
			return;
		}

		if (this.listener && !this.listener.canSend()) {
			this.#settle(ExchangeEnd.Withdrawn, 'the worker became unavailable before the request was sent', false);
			controller.abort(new Error('request was withdrawn'));
			return;
		}

		this.#wasSent = true;
	}

	onResponseStarted(): void {
		this.#headTimer?.cancel();
		this.#headTimer = this.clock.after(HEAD_TIMEOUT_MS, () => {
			this.#fail(`the response head was not complete within ${HEAD_TIMEOUT_MS} ms`);
		});
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: ResponseHeaders): void {
		this.#headTimer?.cancel();
		if (status < 200) {
			this.#informationalCount++;
			if (this.#informationalCount > MAX_INFORMATIONAL_RESPONSES) {
				this.#fail(`more than ${MAX_INFORMATIONAL_RESPONSES} informational responses`);
			}

			return;
		}

		if (status > MAX_STATUS) {
			this.#fail(`${status} is no status`);
			return;
		}

		const metadata = this.dialect.parseResponseHeaders(status, headers);
		if (!this.#isOwnResponse(metadata.requestId)) {
			this.#isMismatched = true;
			controller.abort(new Error('response belongs to another request'));
			return;
		}

		this.#head = {
			status, headers, metadata, isFramed: isFramed(this.request.method, status, headers),
		};
		this.listener?.onHead(this.#head);
	}

	/** Whether a response with this id, or without one, is the worker's response to this request. */
	#isOwnResponse(responseId: string | undefined): boolean {
		return responseId === undefined ? !this.#isEchoRequired : responseId === this.request.requestId;
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		// When it is resumed, the parser reports no bytes at first; its end may follow, so it must not be paused again for them.
		if (this.#isSettled || chunk.length === 0) {
			return;
		}

		this.#bodyBytes += chunk.length;
		if (!this.#isStreaming) {
			this.#buffered.push(chunk);
			if (this.#buffered.bytes > MAX_DISCARDED_BYTES && this.#head && !isStreamable(this.#head)) {
				this.#fail(`the body of a response that cannot be forwarded exceeds ${MAX_DISCARDED_BYTES} bytes`);
				return;
			}

			if (this.#buffered.bytes <= MAX_BUFFERED_RESPONSE_BYTES || !this.#head) {
				return;
			}

			this.#isStreaming = true;
			this.sink.start(this.#head);
			chunk = this.#buffered.takeAll();
		}

		const isSinkReady = this.sink.write(chunk, () => {
			this.#guard(() => {
				controller.resume();
			});
		});
		if (!isSinkReady) {
			controller.pause();
		}
	}

	onResponseEnd(): void {
		const isCloseDelimited = this.#head?.isFramed === false;
		if (isCloseDelimited) {
			void this.connection.endCheck.then(() => {
				this.#complete(isCloseDelimited);
			});
		} else {
			this.#complete(isCloseDelimited);
		}
	}

	#complete(isCloseDelimited: boolean): void {
		if (this.connection.wasReset || (this.connection.isEndReceived && !isCloseDelimited)) {
			this.#settle(this.#isStreaming ? ExchangeEnd.Truncated : ExchangeEnd.Broken, 'connection ended before the response was complete', false);
			return;
		}

		const isClosing = String(this.#head?.headers.connection ?? '').toLowerCase().includes('close');
		this.#settle(this.#isStreaming ? ExchangeEnd.Streamed : ExchangeEnd.Answered, '', !isClosing && !isCloseDelimited && !this.connection.hasUnsentBytes);
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
		this.#settle(this.#classifyError(), error.message, false);
	}

	#checkOverhead(): void {
		const overheadBytes = this.connection.receivedBytes - this.#receivedBefore - this.#bodyBytes;
		if (!this.#isSettled && overheadBytes > MAX_OVERHEAD_BYTES + (this.#bodyBytes * MAX_OVERHEAD_RATIO)) {
			this.#fail(`the response has ${overheadBytes} bytes beside a body of ${this.#bodyBytes}`);
		}
	}

	/** Ends the exchange because the bytes received are no response, and closes the connection. */
	#fail(message: string): void {
		this.#settle(this.#classifyError(), message, false);
		this.connection.reset();
		this.connection.close();
	}

	/** Calls the library from outside of its callbacks. An exception ends this exchange only. */
	#guard(call: () => void): void {
		try {
			call();
		} catch (error) {
			this.connection.fail(error as Error);
		}
	}

	#classifyError(): ExchangeEnd {
		if (this.#isStreaming) {
			return ExchangeEnd.Truncated;
		}

		if (this.#isMismatched) {
			return ExchangeEnd.Mismatched;
		}

		return this.#wasSent ? ExchangeEnd.Broken : ExchangeEnd.Unreachable;
	}

	#settle(end: ExchangeEnd, message: string, isReusable: boolean): void {
		if (this.#isSettled) {
			return;
		}

		this.#isSettled = true;
		this.#headTimer?.cancel();
		const isReportedNotRun = end === ExchangeEnd.Answered && this.#head?.metadata.isNotRun === true;
		this.#resolve({
			end,
			mayHaveRun: this.#wasSent && !isReportedNotRun,
			isReusable,
			head: this.#head,
			body: this.#buffered.takeAll(),
			message,
		});
	}
}
