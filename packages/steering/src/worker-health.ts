/** Outcome of an attempt, for the health of its worker. */
export enum AttemptOutcome {
	Good = 'good',
	/** The worker failed the request, or its response was invalid, incomplete or for another request. */
	Failed = 'failed',
	/** The worker shed the request. A worker may shed some requests while it has free slots, so it continues to get requests. */
	Shed = 'shed',
	/** The worker rejected the request and told this host to wait, see `BackoffTracker`; this says nothing of its health. */
	Backoff = 'backoff',
	/** No connection could be opened, the attempt timed out, or a health check failed. */
	Unreachable = 'unreachable',
	/** The address now belongs to another worker. */
	Replaced = 'replaced',
}

/** Health of one worker. */
type HealthRecord = {
	/** Exponentially smoothed ratio of failed and shed attempts, 0 to 1. A cooldown for failures sets it to half of `MAX_ERROR_RATE`, a passed health check to 0. */
	errorRate: number;
	/** Attempts with the outcome `Unreachable` or `Replaced`, and failed health checks, since the last attempt with the outcome `Good`. */
	unreachableSinceSuccess: number;
	/** End of the cooldown, monotonic ms; the worker gets no requests before. */
	cooldownUntilMs: number;
	/** Whether the worker must pass a health check before it gets requests again. */
	needsHealthCheck: boolean;
};

/** Weight of a new attempt in the error rate. */
const ERROR_RATE_SMOOTHING = 0.2;
/** Smoothed error rate above which a failed attempt starts a cooldown, 0 to 1. A shed attempt raises the rate but starts no cooldown. */
const MAX_ERROR_RATE = 0.8;
/** Cooldown of a worker whose error rate is too high, ms. */
const ERROR_RATE_COOLDOWN_MS = 1500;
/** Cooldown after the first unreachable attempt, ms; doubles with each further one until an attempt succeeds. */
const INITIAL_UNREACHABLE_COOLDOWN_MS = 400;
/** Upper bound of the cooldown after unreachable attempts, ms. */
const MAX_UNREACHABLE_COOLDOWN_MS = 3000;

/**
 * Tracks the health of workers from the outcomes of attempts (passive health
 * checks), because a worker may fail or shed requests while it passes its active
 * health check. An unreachable worker gets a cooldown with exponential backoff
 * and must then pass an active health check, whose response also has the
 * remaining warm-up time, which the health checker passes to `Fleet`. Times are
 * monotonic ms.
 */
export class WorkerHealthTracker {
	readonly #records = new Map<number, HealthRecord>();

	/** Records the outcome of an attempt. @param worker hash of the worker's id. */
	recordAttempt(worker: number, outcome: AttemptOutcome, nowMs: number): void {
		const record = this.#getOrCreate(worker);
		switch (outcome) {
			case AttemptOutcome.Good: {
				record.unreachableSinceSuccess = 0;
				record.errorRate *= 1 - ERROR_RATE_SMOOTHING;
				break;
			}

			case AttemptOutcome.Failed: {
				this.#recordFailure(record, nowMs);
				break;
			}

			case AttemptOutcome.Shed: {
				record.errorRate += (1 - record.errorRate) * ERROR_RATE_SMOOTHING;
				break;
			}

			case AttemptOutcome.Backoff: {
				break;
			}

			case AttemptOutcome.Unreachable:
			case AttemptOutcome.Replaced: {
				record.unreachableSinceSuccess++;
				record.needsHealthCheck = true;
				startCooldown(record, Math.min(MAX_UNREACHABLE_COOLDOWN_MS, INITIAL_UNREACHABLE_COOLDOWN_MS * (2 ** (record.unreachableSinceSuccess - 1))), nowMs);
				break;
			}
		}
	}

	/** Whether the worker is neither in a cooldown nor in need of a health check. */
	isHealthy(worker: number, nowMs: number): boolean {
		const record = this.#records.get(worker);
		return record === undefined || (!record.needsHealthCheck && record.cooldownUntilMs <= nowMs);
	}

	/** Whether the worker needs a health check and its cooldown is over. */
	isHealthCheckDue(worker: number, nowMs: number): boolean {
		const record = this.#records.get(worker);
		return record !== undefined && record.needsHealthCheck && record.cooldownUntilMs <= nowMs;
	}

	/** Records the result of a health check; a failed one counts as an unreachable attempt. */
	recordHealthCheck(worker: number, hasPassed: boolean, nowMs: number): void {
		if (!hasPassed) {
			this.recordAttempt(worker, AttemptOutcome.Unreachable, nowMs);
			return;
		}

		const record = this.#getOrCreate(worker);
		record.needsHealthCheck = false;
		record.errorRate = 0;
	}

	/** Smoothed ratio of attempts that the worker failed or shed, 0 to 1; lowered by a cooldown for failures and reset by a passed health check. */
	getErrorRate(worker: number): number {
		return this.#records.get(worker)?.errorRate ?? 0;
	}

	/** Trusts all workers again that were found to be unreachable: the path to them was cut. */
	forgetUnreachable(): void {
		for (const record of this.#records.values()) {
			if (record.needsHealthCheck) {
				record.unreachableSinceSuccess = 0;
				record.needsHealthCheck = false;
				record.cooldownUntilMs = 0;
			}
		}
	}

	/** Discards the record of a worker, after a restart. */
	reset(worker: number): void {
		this.#records.delete(worker);
	}

	#recordFailure(record: HealthRecord, nowMs: number): void {
		record.errorRate += (1 - record.errorRate) * ERROR_RATE_SMOOTHING;
		if (record.errorRate > MAX_ERROR_RATE) {
			startCooldown(record, ERROR_RATE_COOLDOWN_MS, nowMs);
			record.errorRate = MAX_ERROR_RATE / 2;
		}
	}

	#getOrCreate(worker: number): HealthRecord {
		let record = this.#records.get(worker);
		if (!record) {
			record = {errorRate: 0, unreachableSinceSuccess: 0, cooldownUntilMs: 0, needsHealthCheck: false};
			this.#records.set(worker, record);
		}

		return record;
	}
}

function startCooldown(record: HealthRecord, durationMs: number, nowMs: number): void {
	record.cooldownUntilMs = Math.max(record.cooldownUntilMs, nowMs + durationMs);
}
