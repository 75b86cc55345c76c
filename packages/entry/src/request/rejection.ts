import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {EvictionReason} from '@apricotwood/admission';
import {resetSocket} from '../socket.js';

/** `Retry-After` of requests that give way to others, ms; a host under a crowd stays so for a while. */
const EVICTED_RETRY_AFTER_MS = 1000;

/** Reason why a request ends without a worker's response. */
export enum RejectionCode {
	NotReady = 'not-ready',
	StaleRoutes = 'stale-routes',
	NoRoute = 'no-route',
	HeaderTooLong = 'header-too-long',
	BodyTooLong = 'body-too-long',
	BodyBroken = 'body-broken',
	/** The body did not arrive before the deadline. */
	BodyLate = 'body-late',
	/** The callers of this host hold too much, and this one gives way. */
	Evicted = 'evicted',
	NoWorker = 'no-worker',
	Full = 'full',
	Late = 'late',
	/** All eligible workers name a rate limit, and the share of this host is used up. */
	RateLimited = 'rate-limited',
	/** All eligible workers have told this host to wait. */
	Backoff = 'backoff',
	/** This host stops, and may end before the response. */
	Stopping = 'stopping',
	/** Workers crashed while they ran the request; it is not sent to further ones. */
	Quarantined = 'quarantined',
	/** Workers crashed while they ran the request, and another copy of it is in progress. */
	Suspect = 'suspect',
	/** No attempt has run the request; the last one was shed, answered by another worker, or cancelled before it was sent. */
	Shed = 'shed',
	/** No attempt has run the request; the last one could not open a connection. */
	Unreachable = 'unreachable',
	/** The request may have run, but no response can be forwarded: none was complete, or the one received must not reach the caller, for example because it is unsigned. */
	Unknown = 'unknown',
	/** The request may have run; the last exchange was cancelled, normally at the deadline, or its 504 was not forwarded. */
	Timeout = 'timeout',
	CallerLeft = 'caller-left',
	/** This host ended before the response had been handed over to the network; the caller's connection was reset. */
	Cut = 'cut',
}

/** Response that this host generates itself. */
export type Rejection = {
	readonly code: RejectionCode;
	readonly status: number;
	readonly message: string;
	/** Delay before the caller should retry, ms; only set if the request is guaranteed not to have run. */
	readonly retryAfterMs?: number;
};

/** Creates the rejection of a request that has not run and never will. */
export function createNotRunRejection(code: RejectionCode, message: string, retryAfterMs: number): Rejection {
	return {code, status: 503, message, retryAfterMs};
}

/** Creates the rejection of a request whose body has not arrived in time; it has not run and never will. */
export function createLateBodyRejection(): Rejection {
	return {code: RejectionCode.BodyLate, status: 408, message: 'the request body did not arrive before the deadline'};
}

/** Creates the rejection of a request that gives way to others, if it has not run. */
export function createEvictionRejection(reason: EvictionReason): Rejection {
	return createNotRunRejection(RejectionCode.Evicted, `callers hold too much of this host (${reason})`, EVICTED_RETRY_AFTER_MS);
}

/** Creates the rejection of a request that may have run. */
export function createUnknownOutcomeRejection(code: RejectionCode, message: string): Rejection {
	return {code, status: code === RejectionCode.Timeout ? 504 : 502, message};
}

/** Sends a rejection to the caller; resets the connection if a response has already started, as one without a length would look complete otherwise. */
export function sendRejection(res: ServerResponse, {code, status, message, retryAfterMs}: Rejection): void {
	if (res.headersSent || res.destroyed) {
		if (res.socket) {
			resetSocket(res.socket);
		}

		res.destroy();
		return;
	}

	const body = JSON.stringify({error: code, message});
	res.statusCode = status;
	res.setHeader('content-type', 'application/json');
	res.setHeader('content-length', Buffer.byteLength(body));
	if (retryAfterMs !== undefined) {
		res.setHeader('retry-after', (retryAfterMs / 1000).toFixed(2));
	}

	res.end(body);
}
