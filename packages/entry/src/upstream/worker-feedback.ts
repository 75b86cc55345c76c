import type {Clock} from '@apricotwood/clock';
import type {
	BackoffTracker, DrainTracker, Fleet, RateLimitTracker, Worker,
} from '@apricotwood/steering';
import type {Log} from '@apricotwood/telemetry';
import type {HealthCheckResult, ResponseMetadata, WorkerNotice} from '../dialect.js';

/** Dependencies of `WorkerFeedback`. */
export type WorkerFeedbackDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly fleet: Fleet;
	readonly drains: DrainTracker;
	readonly backoffs: BackoffTracker;
	readonly rateLimits: RateLimitTracker;
	/** Called when a worker has said for the first time that it is leaving. */
	readonly onDraining: (worker: Worker) => void;
};

/** The request that a response answers. */
export type AnsweredRequest = {
	/** Id of the request, for the log; `undefined` for a health check. */
	readonly id: string | undefined;
	/** Monotonic ms. */
	readonly sentAtMs: number;
};

/**
 * Records what workers say of themselves in their responses, as soon as the head
 * of a response has arrived: its body may take longer than the time after which
 * the worker relies on it.
 */
export class WorkerFeedback {
	constructor(private readonly deps: WorkerFeedbackDeps) {}

	/** Records the head of a response. One of another worker, or of an earlier start, says nothing of this one. */
	recordResponse(worker: Worker, metadata: ResponseMetadata, req: AnsweredRequest): void {
		if (metadata.isOtherWorker || this.#hasRestarted(worker)) {
			return;
		}

		this.#recordNotice(worker, metadata, req);
		// Only a signed response is surely the worker's own and shows that it no longer names a limit.
		if (metadata.isSigned || metadata.rateLimit !== undefined) {
			this.#recordRateLimit(worker, metadata, req);
		}
	}

	/** Records the response to a health check. */
	recordHealthCheck(worker: Worker, result: HealthCheckResult, sentAtMs: number): void {
		const isOtherWorker = result.worker !== undefined && result.worker !== worker.registration.id;
		if (!isOtherWorker && !this.#hasRestarted(worker)) {
			this.#recordNotice(worker, result, {id: undefined, sentAtMs});
		}
	}

	/** Whether the worker has started again since the request was sent. */
	#hasRestarted({registration: {id, bornMs}}: Worker): boolean {
		const current = this.deps.fleet.get(id);
		return current !== undefined && current.registration.bornMs > bornMs;
	}

	#recordNotice(worker: Worker, {isDraining, retryAfterMs}: WorkerNotice, req: AnsweredRequest): void {
		const {drains, onDraining, log} = this.deps;
		const {hash, registration: {id, bornMs}} = worker;
		if (isDraining && drains.record({worker: hash, bornMs})) {
			log.info({event: 'worker-draining', worker: id, request: req.id});
			onDraining(worker);
		}

		this.#recordBackoff(worker, retryAfterMs, req);
	}

	#recordBackoff(worker: Worker, retryAfterMs: number | undefined, req: AnsweredRequest): void {
		const {backoffs, clock, log} = this.deps;
		if (retryAfterMs === undefined) {
			backoffs.recordResponse(worker, req.sentAtMs);
		} else if (backoffs.recordRejection(worker, retryAfterMs, clock.monotonic())) {
			log.info({
				event: 'worker-backoff', worker: worker.registration.id, retryAfterMs, request: req.id,
			});
		}
	}

	#recordRateLimit({hash, registration: {id}}: Worker, {rateLimit}: WorkerNotice, req: AnsweredRequest): void {
		const {rateLimits, clock, log} = this.deps;
		if (rateLimits.recordResponse(hash, rateLimit, clock.monotonic())) {
			log.info({
				event: 'worker-limit', worker: id, perSecond: rateLimit, request: req.id,
			});
		}
	}
}
