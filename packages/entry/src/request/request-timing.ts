import type {Clock} from '@apricotwood/clock';
import type {Route} from '@apricotwood/steering';
import type {RequestMetadata} from '../dialect.js';
import type {RetryDetector} from './retry-detector.js';

/** Times of one request, monotonic ms. */
export type RequestTiming = {
	/** Arrival of the request. */
	readonly startAtMs: number;
	/** Deadline of the request: the earlier one of the caller and of the route. */
	readonly deadlineAtMs: number;
	/** Time by which the response should arrive: the target latency of the route after the caller's first attempt. */
	readonly targetAtMs: number;
	/** Whether the caller has sent the request before. */
	readonly isCallerRetry: boolean;
};

/** Computes the times of a request that arrives now. */
export function computeTiming({clock, retryDetector}: {readonly clock: Clock; readonly retryDetector: RetryDetector}, route: Route, {waitsMs}: RequestMetadata): RequestTiming {
	const startAtMs = clock.monotonic();
	const elapsedMs = waitsMs === undefined ? 0 : retryDetector.estimateElapsedMs(route.name, waitsMs);
	return {
		startAtMs,
		deadlineAtMs: startAtMs + Math.min(waitsMs ?? route.timeoutMs, route.timeoutMs),
		targetAtMs: startAtMs + route.targetMs - elapsedMs,
		isCallerRetry: elapsedMs > 0,
	};
}
