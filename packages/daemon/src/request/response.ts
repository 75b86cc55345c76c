import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {Outcome, type StoredResponse} from '@apricotwood/once';
import {HeaderName} from './headers.js';
import type {Rejection} from './rejection.js';

const OUTCOME_HEADER = toTitleCase(HeaderName.Outcome);
const WORKER_HEADER = toTitleCase(HeaderName.Worker);
const HOST_HEADER = toTitleCase(HeaderName.Host);

/** Another entry host that a rejected caller may try. */
export type AlternativeHost = {
	readonly address: string;
	readonly port: number;
};

/** Writes a rejection as a JSON response; has no effect if a response has started or the connection is closed. The rest of a body is read and dropped within the bounds of the connection's guard: a close would reset the connection, and lose the response. */
export function sendRejection(res: ServerResponse, rejection: Rejection, hosts: readonly AlternativeHost[]): void {
	if (res.headersSent || res.destroyed) {
		return;
	}

	const {code, message, retryAfterMs, outcome, status} = rejection;
	const body = Buffer.from(JSON.stringify({
		code, message, retryAfterMs, hosts,
	}));
	const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length), OUTCOME_HEADER, outcome];
	if (retryAfterMs > 0) {
		headers.push('Retry-After', String(Math.max(1, Math.ceil(retryAfterMs / 1000))));
	}

	res.writeHead(status, headers);
	res.end(body);
}

/** Writes the stored response of an earlier run; has no effect if a response has started or the connection is closed. */
export function sendStoredResponse(res: ServerResponse, response: StoredResponse): void {
	if (res.headersSent || res.destroyed) {
		return;
	}

	res.writeHead(response.status, [...response.headers]);
	res.end(response.body);
}

/** Breaks off a response that has started, so that it does not look complete. */
export function cutResponse(res: ServerResponse): void {
	// HTTP/1.0 has no chunked encoding: a response without a length ends with its connection, and a regular end would complete it.
	if (res.req.httpVersion === '1.0') {
		res.socket?.resetAndDestroy();
	}

	res.destroy();
}

/** Adds the outcome, worker and host headers to the headers of a worker's response. */
export function createResponseHeaders(headers: readonly string[], worker: string, host: string): string[] {
	return [...headers, OUTCOME_HEADER, Outcome.Answered, WORKER_HEADER, worker, HOST_HEADER, host];
}

/** Capitalizes each part of a header name, as in `Apricotwood-Outcome`. */
function toTitleCase(name: HeaderName): string {
	return name.replaceAll(/(^|-)([a-z])/g, (_match, dash: string, letter: string) => dash + letter.toUpperCase());
}
