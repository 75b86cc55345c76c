import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {setTimeout as pause} from 'node:timers/promises';
import type {Call, CallKind} from '../observation.js';
import {CallerConnection, type CallerAnswer} from './caller-connection.js';

/** Time that callers allow, ms. */
export const TIME_LEFT_MS = 1500;
/** Time after which a caller ends the wait for an answer that does not come, ms. */
const GIVE_UP_MS = 4000;
const CHUNK_BYTES = 7000;

/** A request that is to be sent. */
export type CallRequest = {
	readonly id: string;
	readonly kind: CallKind;
	/** @default path of its kind */
	readonly path?: string;
	readonly bodyBytes: number;
	readonly isChunked: boolean;
	readonly pauseMs: number;
	readonly keepsConnection: boolean;
	/** See `Call`. @default true */
	readonly isAllowed?: boolean;
};

/** Options of a caller; breaks of the checker. */
export type CallerOptions = {
	/** See `CallerConnection`. */
	readonly repeatsAnswers?: boolean;
	/** Changes what the caller has got. */
	readonly changeAnswer?: (answer: CallerAnswer) => CallerAnswer;
};

/** A caller that keeps its connections as the host allows. */
export class Caller {
	readonly calls: Call[] = [];
	/** Bytes that came with no request waiting. */
	readonly surplus: string[] = [];
	#connection: CallerConnection | undefined;

	/** @param address `IP:port` of the host. */
	constructor(private readonly address: string, private readonly options: CallerOptions = {}) {}

	async send({id, kind, path = `/${kind}/${id}`, bodyBytes, isChunked, pauseMs, keepsConnection, isAllowed = true}: CallRequest): Promise<Call> {
		if (pauseMs > 0) {
			await pause(pauseMs);
		}

		if (!keepsConnection || !this.#connection?.isUsable) {
			this.close();
			this.#connection = new CallerConnection(this.address, this.options.repeatsAnswers);
		}

		const body = Buffer.alloc(bodyBytes, `body of ${id} `);
		const method = bodyBytes > 0 ? 'POST' : 'GET';
		const startMs = performance.now();
		const answer = await this.#connection.send(renderRequest({
			id, method, path, body, isChunked,
		}), GIVE_UP_MS);
		const call: Call = {
			id,
			kind,
			method,
			path,
			digest: createHash('md5').update(body).digest('hex'),
			isAllowed,
			timeLeftMs: TIME_LEFT_MS,
			tookMs: performance.now() - startMs,
			answer: this.options.changeAnswer?.(answer) ?? answer,
		};
		this.calls.push(call);
		return call;
	}

	/** Closes the connection, and notes what came on it beside answers. */
	close(): void {
		const surplus = this.#connection?.surplus ?? '';
		if (surplus.length > 0) {
			this.surplus.push(surplus.toString('latin1'));
		}

		this.#connection?.close();
		this.#connection = undefined;
	}
}

type RenderedRequest = {readonly id: string; readonly method: string; readonly path: string; readonly body: Buffer; readonly isChunked: boolean};

function renderRequest({id, method, path, body, isChunked}: RenderedRequest): Buffer {
	const usesChunks = isChunked && body.length > 0;
	const framing = usesChunks ? 'Transfer-Encoding: chunked\r\n' : (body.length > 0 ? `Content-Length: ${body.length}\r\n` : '');
	const head = Buffer.from(`${method} ${path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ${id}\r\nRequest-Deadline-Ms: ${TIME_LEFT_MS}\r\nAffinity-Key: 7\r\n${framing}\r\n`);
	return Buffer.concat([head, ...(usesChunks ? renderChunks(body) : [body])]);
}

function renderChunks(body: Buffer): Buffer[] {
	const chunks: Buffer[] = [];
	for (let at = 0; at < body.length; at += CHUNK_BYTES) {
		const chunk = body.subarray(at, at + CHUNK_BYTES);
		chunks.push(Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk, Buffer.from('\r\n'));
	}

	return [...chunks, Buffer.from('0\r\n\r\n')];
}
