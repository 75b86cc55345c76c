import {
	readPendingInput, sleep, type Clock, type EventLoopMonitor,
} from '@apricotwood/clock';
import type {ServiceTimeEstimator, WaitingRequests} from '@apricotwood/steering';
import type {Metrics} from '@apricotwood/telemetry';
import type {RunningAttempt} from './session-deps.js';

/** Interval at which the placement of waiting requests is retried, and running attempts are checked for being overdue, while requests wait, ms; events that report free capacity trigger further retries. */
const RETRY_INTERVAL_MS = 25;
/** Interval at which running attempts are checked for being overdue while no request waits, ms. */
const OVERDUE_CHECK_INTERVAL_MS = 100;
/** An attempt is overdue when it exceeds its expected duration by this factor. */
const OVERDUE_FACTOR = 2;

export type WaitingRetrierDeps = {
	readonly clock: Clock;
	/** Told of each run. */
	readonly eventLoop: EventLoopMonitor;
	readonly metrics: Metrics;
	readonly waiting: WaitingRequests<() => void>;
	readonly running: ReadonlySet<RunningAttempt>;
	readonly serviceTimes: ServiceTimeEstimator;
};

/**
 * Retries the placement of waiting requests, periodically and when capacity was
 * freed. A retry first lets the host read what has arrived, so that no request is
 * sent whose caller has left meanwhile; several triggers until then cause one retry.
 */
export class WaitingRetrier {
	#isScheduled = false;
	#maxLagMs = 0;

	constructor(private readonly deps: WaitingRetrierDeps) {}

	/** Runs until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, eventLoop, waiting} = this.deps;
		while (!signal.aborted) {
			const intervalMs = waiting.size > 0 ? RETRY_INTERVAL_MS : OVERDUE_CHECK_INTERVAL_MS;
			const dueAtMs = clock.monotonic() + intervalMs;
			await sleep(clock, intervalMs, signal); // eslint-disable-line no-await-in-loop
			const nowMs = clock.monotonic();
			eventLoop.recordRun();
			this.#recordLag(nowMs - dueAtMs);
			this.#recordOverdue(nowMs);
			this.schedule();
		}
	}

	/** Schedules a retry for when what has arrived by now is read. */
	schedule(): void {
		if (this.#isScheduled || this.deps.waiting.size === 0) {
			return;
		}

		this.#isScheduled = true;
		void this.#retry();
	}

	/** Longest lag of the event loop since the last call, ms. */
	takeMaxLagMs(): number {
		const maxLagMs = this.#maxLagMs;
		this.#maxLagMs = 0;
		return maxLagMs;
	}

	/** Retries all waiting requests, the most urgent first. */
	async #retry(): Promise<void> {
		const {clock, waiting} = this.deps;
		await readPendingInput();
		this.#isScheduled = false;
		for (const {item} of waiting.listByPriority(clock.monotonic())) {
			item();
		}
	}

	#recordLag(lagMs: number): void {
		this.#maxLagMs = Math.max(this.#maxLagMs, lagMs);
		this.deps.metrics.latency('loop.lag', Math.max(0, lagMs));
	}

	#recordOverdue(nowMs: number): void {
		const {running, serviceTimes} = this.deps;
		for (const {worker, startAtMs, expectedMs} of running) {
			const ratio = (nowMs - startAtMs) / Math.max(1, expectedMs);
			if (ratio > OVERDUE_FACTOR) {
				serviceTimes.recordOverdue(worker, ratio, nowMs);
			}
		}
	}
}
