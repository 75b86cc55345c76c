import type {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {RequestHolding} from '@apricotwood/admission';
import {resetSocket} from '../socket.js';
import type {ResponseHead, ResponseSink} from '../upstream/response.js';
import {copyResponseHeaders} from './headers.js';
import {sendRejection, type Rejection} from './rejection.js';

/** Writes the one response that a caller gets: a worker's response, buffered or streamed, or a rejection of this host. */
export class ResponseWriter implements ResponseSink {
	/**
	 * @param isLeaving whether the host is shutting down; the caller's connection is then closed after the response.
	 * @param holding counts what the response holds until the caller has taken it.
	 */
	constructor(private readonly res: ServerResponse, private readonly isLeaving: () => boolean, private readonly holding: RequestHolding) {}

	/** Whether the caller's connection is closed. */
	get isClosed(): boolean {
		return this.res.destroyed;
	}

	/** Status that was sent. */
	get status(): number {
		return this.res.statusCode;
	}

	/** Starts a response that is streamed. One without a length gets chunks, as the end of this process would look like the end of the response otherwise; not for a caller of HTTP/1.0, which cannot read them. */
	start(head: ResponseHead): void {
		if (this.res.destroyed) {
			return;
		}

		this.#closeIfLeaving();
		this.res.writeHead(head.status, copyResponseHeaders(head.headers));
	}

	write(chunk: Buffer, resume: () => void): boolean {
		if (this.res.destroyed || this.res.write(chunk)) {
			return true;
		}

		this.res.once('drain', resume);
		return false;
	}

	/** Ends a response that was streamed completely. */
	end(): void {
		this.res.end();
	}

	/** Sends a worker's response that was buffered completely. One without a length keeps its form: a worker that has crashed may have ended it, and a length or chunks would mark it as complete. */
	send(head: ResponseHead, body: Buffer): void {
		if (!head.isFramed) {
			this.res.useChunkedEncodingByDefault = false;
		}

		this.start(head);
		this.holding.hold(body.length);
		this.res.end(body);
	}

	reject(rejection: Rejection): void {
		this.#closeIfLeaving();
		sendRejection(this.res, rejection);
	}

	/** Resets the caller's connection, so that the caller recognizes a partial response as incomplete; a regular close would mark a response without a length as complete. */
	cut(): void {
		if (this.res.socket) {
			resetSocket(this.res.socket);
		}

		this.res.destroy();
	}

	#closeIfLeaving(): void {
		if (this.isLeaving()) {
			this.res.setHeader('connection', 'close');
		}
	}
}
