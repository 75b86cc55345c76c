import {
	AttemptOutcome, type Placement, type Route, type Worker,
} from '@apricotwood/steering';
import {ExchangeEnd, type ExchangeResult, type ResponseHead} from '../upstream/response.js';
import type {GuardedRequest} from './crash-guard.js';
import type {RequestFingerprint} from './fingerprint.js';
import {FIRST_ERROR_STATUS} from './response-selection.js';
import type {SessionDeps} from './session-deps.js';

/** The request of an attempt. */
export type AttemptedRequest = {
	readonly route: Route;
	readonly service: string;
	/** Hash of the requested object; `undefined` when the request has none. */
	readonly object: number | undefined;
	readonly guarded: GuardedRequest;
	/** Deadline of the request, which its workers are told, monotonic ms. */
	readonly deadlineAtMs: number;
};

/** An attempt at a worker that has ended. */
export type EndedAttempt = {
	readonly worker: Worker;
	readonly placement: Placement;
	readonly result: ExchangeResult;
	readonly durationMs: number;
	/** Part of the duration that the network took, ms. */
	readonly networkMs: number;
	/** Whether this host cancelled it at the deadline. */
	readonly hasTimedOut: boolean;
	/** Whether the caller has not sent its whole body: the worker is not what the attempt waited for. */
	readonly isBodyMissing: boolean;
};

/** Whether the connection ended without a response. */
export function hasBrokenConnection({end, head}: ExchangeResult): boolean {
	return end === ExchangeEnd.Broken && !head;
}

/** Records what an attempt shows: the worker's health and reported load, service times, learned cache capacity, and mismatched responses in the pool. */
export function recordOutcome(deps: SessionDeps, req: AttemptedRequest, attempt: EndedAttempt): void {
	const {workerHealth, load, pool, clock, reachability, crashDetector} = deps;
	const {worker, result, hasTimedOut, isBodyMissing} = attempt;
	const {registration: {id, address}, hash} = worker;
	const nowMs = clock.monotonic();
	if (result.head) {
		reachability.recordResponse(nowMs);
		crashDetector.recordResponse(worker);
	}

	const reported = result.head?.metadata.load;
	if (reported) {
		load.recordReport(hash, reported.running + reported.waiting, nowMs);
	}

	switch (result.end) {
		case ExchangeEnd.Answered:
		case ExchangeEnd.Streamed: {
			recordResponse(deps, req, attempt, result.head!, nowMs);
			break;
		}

		case ExchangeEnd.Withdrawn: {
			break;
		}

		case ExchangeEnd.Unreachable: {
			workerHealth.recordAttempt(hash, AttemptOutcome.Unreachable, nowMs);
			break;
		}

		case ExchangeEnd.Mismatched: {
			pool.recordMismatch(id, address);
			workerHealth.recordAttempt(hash, AttemptOutcome.Failed, nowMs);
			crashDetector.recordCancelled(worker, req.guarded.fingerprint.value, req.deadlineAtMs);
			break;
		}

		case ExchangeEnd.Broken: {
			workerHealth.recordAttempt(hash, AttemptOutcome.Failed, nowMs);
			if (hasBrokenConnection(result)) {
				crashDetector.recordBrokenConnection(worker, req.guarded.fingerprint.value);
			}

			break;
		}

		case ExchangeEnd.Truncated: {
			workerHealth.recordAttempt(hash, AttemptOutcome.Failed, nowMs);
			break;
		}

		case ExchangeEnd.Cancelled: {
			if (result.mayHaveRun && !result.head) {
				crashDetector.recordCancelled(worker, req.guarded.fingerprint.value, req.deadlineAtMs);
			}

			if (hasTimedOut && !isBodyMissing) {
				workerHealth.recordAttempt(hash, AttemptOutcome.Unreachable, nowMs);
			}

			break;
		}
	}
}

function recordResponse(deps: SessionDeps, req: AttemptedRequest, attempt: EndedAttempt, head: ResponseHead, nowMs: number): void {
	const {hash, registration: {slots}} = attempt.worker;
	const outcome = classifyResponse(head);
	deps.workerHealth.recordAttempt(hash, outcome, nowMs);
	if (outcome !== AttemptOutcome.Good) {
		return;
	}

	if (head.status < FIRST_ERROR_STATUS) {
		recordServed(deps, req.guarded.fingerprint);
	}

	const reported = head.metadata.load;
	deps.reportInterval.record(attempt.durationMs, reported !== undefined && reported.running + reported.waiting >= slots);
	recordServiceTime(deps, req, attempt, nowMs);
}

function recordServed({crashGuard, crashDetector}: SessionDeps, fingerprint: RequestFingerprint): void {
	crashGuard.recordResponse(fingerprint);
	if (!crashDetector.hasNoUnansweredAttempts) {
		crashDetector.recordServed(fingerprint.value);
	}
}

function recordServiceTime({serviceTimes, objectCaches}: SessionDeps, {route, service, object}: AttemptedRequest, attempt: EndedAttempt, nowMs: number): void {
	const {worker, placement: {cacheState, reuseDistance, waitMs}, durationMs, networkMs} = attempt;
	const wasWarm = serviceTimes.record(route, service, worker.hash, cacheState, Math.max(1, durationMs - networkMs), waitMs, nowMs);
	if (wasWarm !== undefined && object !== undefined) {
		objectCaches.learnCapacity(service, reuseDistance, wasWarm);
	}
}

function classifyResponse({status, metadata}: ResponseHead): AttemptOutcome {
	if (metadata.isOtherWorker) {
		return AttemptOutcome.Replaced;
	}

	if (metadata.retryAfterMs !== undefined && metadata.retryAfterMs > 0) {
		return AttemptOutcome.Backoff;
	}

	if (metadata.isNotRun) {
		return AttemptOutcome.Shed;
	}

	// A 504 reports that the deadline of the request has passed, which is not counted as a failure of the worker.
	return status >= FIRST_ERROR_STATUS && status !== 504 ? AttemptOutcome.Failed : AttemptOutcome.Good;
}
