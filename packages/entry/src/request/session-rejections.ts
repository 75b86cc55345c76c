import {PlacementReason, computeRetryAfterMs, type Placement, type Route} from '@apricotwood/steering';
import type {RequestMetadata} from '../dialect.js';
import {ExchangeEnd, type ExchangeResult} from '../upstream/response.js';
import {
	RejectionCode, createNotRunRejection, createUnknownOutcomeRejection, type Rejection,
} from './rejection.js';
import type {SessionDeps} from './session-deps.js';

/** Base of `Retry-After` when no attempt has run the request: each was shed, reached another worker or found no connection, ms. */
const SHED_RETRY_AFTER_MS = 50;
const REJECTION_CODES: Partial<Record<PlacementReason, RejectionCode>> = {
	[PlacementReason.Late]: RejectionCode.Late,
	[PlacementReason.Full]: RejectionCode.Full,
	[PlacementReason.RateLimited]: RejectionCode.RateLimited,
	[PlacementReason.Backoff]: RejectionCode.Backoff,
	[PlacementReason.Stopping]: RejectionCode.Stopping,
};

/** The request of a caller that is rejected. */
export type RejectedRequest = {
	readonly route: Route;
	readonly metadata: RequestMetadata;
	/** Arrival of the request, monotonic ms. */
	readonly startAtMs: number;
};

/** Creates the rejections of one request, with the time after which its caller should retry. */
export class SessionRejections {
	constructor(private readonly deps: Pick<SessionDeps, 'clock' | 'random'>, private readonly request: RejectedRequest) {}

	/** Creates the rejection after a failed attempt. @param mayHaveRun whether any attempt may have run the request. */
	createFailure({end, message, head}: ExchangeResult, mayHaveRun: boolean): Rejection {
		if (mayHaveRun) {
			const isTimeout = end === ExchangeEnd.Cancelled || head?.status === 504;
			return createUnknownOutcomeRejection(isTimeout ? RejectionCode.Timeout : RejectionCode.Unknown, message === '' ? `worker answered with status ${head?.status}` : message);
		}

		return createNotRunRejection(end === ExchangeEnd.Unreachable ? RejectionCode.Unreachable : RejectionCode.Shed, 'no worker has run the request', this.#computeRetryAfterMs(SHED_RETRY_AFTER_MS));
	}

	/**
	 * Rejects a request that no worker may get now. A caller whose request has not run
	 * is told when the first worker wants requests again, rather than how the last
	 * attempt failed.
	 * @param failure rejection after the last attempt; `undefined` if there was none.
	 */
	rejectPlacement(placement: Placement, failure: Rejection | undefined, mayHaveRun: boolean): Rejection {
		const isBackoffKnown = placement.reason === PlacementReason.Backoff && !mayHaveRun;
		return failure && !isBackoffKnown ? failure : this.#createPlacementRejection(placement);
	}

	#createPlacementRejection({reason, availableInMs, load, waitMs, serviceAndNetworkMs}: Placement): Rejection {
		const message = `no capacity (${reason}): ${load} requests at the evaluated worker, ${Math.round(waitMs)} ms to wait, ${Math.round(serviceAndNetworkMs)} ms of work (all 0 if none was evaluated)`;
		return createNotRunRejection(REJECTION_CODES[reason] ?? RejectionCode.NoWorker, message, this.#computeRetryAfterMs(availableInMs));
	}

	#computeRetryAfterMs(availableInMs: number): number {
		const {route, metadata, startAtMs} = this.request;
		const remainingMs = (metadata.waitsMs ?? route.timeoutMs) - (this.deps.clock.monotonic() - startAtMs);
		return computeRetryAfterMs(availableInMs, remainingMs, this.deps.random);
	}
}
