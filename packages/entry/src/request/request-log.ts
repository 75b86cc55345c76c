import type {Route} from '@apricotwood/steering';
import type {RequestMetadata} from '../dialect.js';
import type {AttemptSender} from './attempt.js';
import type {RequestFingerprint} from './fingerprint.js';
import {RejectionCode} from './rejection.js';
import type {SessionDeps} from './session-deps.js';

/** Logged code of a request whose worker's response was forwarded. */
export const ANSWERED_CODE = 'answered';

/** A request of a caller that has ended. */
export type EndedRequest = {
	readonly code: RejectionCode | typeof ANSWERED_CODE;
	/** Reason of a rejection. */
	readonly message: string | undefined;
	readonly route: Route;
	readonly service: string;
	readonly metadata: RequestMetadata;
	readonly isForwarded: boolean;
	/** Arrival of the request, monotonic ms. */
	readonly startAtMs: number;
	/** Time by which the response should have arrived, monotonic ms. */
	readonly targetAtMs: number;
	/** Time for which the request has waited for a worker, ms. */
	readonly queuedMs: number;
	/** Status that was sent to the caller. */
	readonly status: number;
	/** `undefined` if nothing was about to be sent. */
	readonly sender: AttemptSender | undefined;
	readonly fingerprint: RequestFingerprint | undefined;
};

/** Counts a request that has ended and writes its log line; the field names are part of the log format. */
export function logRequestEnd({log, metrics, clock, getConfigVersion}: SessionDeps, request: EndedRequest): void {
	const {code, route, service, metadata, sender} = request;
	const nowMs = clock.monotonic();
	const ms = Math.round(nowMs - request.startAtMs);
	const hasCrashes = code === RejectionCode.Quarantined || code === RejectionCode.Suspect || (sender?.brokenAttempts ?? 0) > 0;
	metrics.count(`requests.${code}`);
	metrics.latency(`request.${route.kind}`, ms);
	log.info({
		event: 'request',
		id: metadata.requestId,
		route: route.name,
		service,
		object: metadata.object,
		config: getConfigVersion(),
		code,
		status: request.status,
		ms,
		waitedMs: Math.round(request.queuedMs),
		isForwarded: request.isForwarded ? true : undefined,
		targetLeftMs: Math.round(request.targetAtMs - nowMs),
		attempts: sender?.records ?? [],
		fingerprint: hasCrashes ? request.fingerprint?.value : undefined,
		message: request.message,
	});
}
