import {
	jitter, sleep, type Clock, type Random,
} from '@apricotwood/clock';
import type {Log, Metrics} from '@apricotwood/telemetry';
import {
	computeReadDelayMs, type ReadSchedule, type ReaderRank,
} from './read-schedule.js';
import type {SyncStatus} from './sync-status.js';

/** A part of the state that is read from the source by itself. */
export type PolledDataSet = {
	/** Name in log lines. */
	readonly name: string;
	readonly status: SyncStatus;
	/** Reads the changes since the last read and applies them. @param startAtMs start of the read, monotonic ms. */
	readonly read: (startAtMs: number, signal: AbortSignal) => Promise<void>;
};

/** Dependencies of a `DataSetPoller`. */
export type DataSetPollerDeps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly dataSet: PolledDataSet;
	readonly schedule: ReadSchedule;
	/** Returns the rank of this host among the readers. */
	readonly rank: () => ReaderRank;
	/** Called after each read that changed the data, so that peers can be notified at once. */
	readonly onStateChange: () => void;
};

/** Bounds of the time between two checks whether a read is due, ms. The lower one is the longest by which a read begins late. */
export const MIN_CHECK_INTERVAL_MS = 20;
const MAX_CHECK_INTERVAL_MS = 150;
/** Duration from which a read is slow, ms: a host whose processor or link is full still reads, but others do so sooner. */
const SLOW_READ_MS = 400;
/** Upper bound of the delay after a failed read, before jitter, ms. */
const MAX_BACKOFF_MS = 1500;
/** Jitter of that delay, as a ratio of it. */
const BACKOFF_JITTER_RATIO = 0.3;

/** Reads one data set from the source whenever `computeReadDelayMs` says so. */
export class DataSetPoller {
	#consecutiveFailures = 0;
	/** Whether the last read was successful and slow. */
	#isSlow = false;
	#lastReadAtMs = Number.NEGATIVE_INFINITY;
	#retryNotBeforeMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly deps: DataSetPollerDeps) {}

	/** Whether the last completed read failed, or was so slow that another host should read. */
	get isFailing(): boolean {
		return this.#consecutiveFailures > 0 || this.#isSlow;
	}

	/** Runs until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			if (this.#computeDelayMs() <= 0) {
				await this.#read(signal); // eslint-disable-line no-await-in-loop
			}

			await sleep(this.deps.clock, Math.max(MIN_CHECK_INTERVAL_MS, Math.min(MAX_CHECK_INTERVAL_MS, this.#computeDelayMs())), signal); // eslint-disable-line no-await-in-loop
		}
	}

	/** Reads once. A failure is logged and delays the next read by a growing backoff. */
	async #read(signal: AbortSignal): Promise<void> {
		const {clock, dataSet: {name, status, read}, schedule: {readTimeoutMs}, onStateChange, log} = this.deps;
		const startAtMs = clock.monotonic();
		this.#lastReadAtMs = startAtMs;
		const changedBefore = status.changedRevision;
		const timeoutController = new AbortController();
		const timer = clock.after(readTimeoutMs, () => {
			timeoutController.abort(new Error('no answer in time'));
		});
		try {
			await read(startAtMs, AbortSignal.any([signal, timeoutController.signal]));
			this.#recordSuccess(clock.monotonic() - startAtMs);
		} catch (error) {
			if (!signal.aborted) {
				this.#recordFailure(error as Error);
			}

			return;
		} finally {
			timer.cancel();
		}

		if (status.changedRevision !== changedBefore) {
			log.debug({event: 'news', dataSet: name, revision: status.changedRevision});
			onStateChange();
		}
	}

	#computeDelayMs(): number {
		const {clock, dataSet: {status}, schedule, rank} = this.deps;
		const nowMs = clock.monotonic();
		const delayMs = computeReadDelayMs(schedule, rank(), {
			ageMs: nowMs - status.freshAtMs,
			sinceReadMs: nowMs - this.#lastReadAtMs,
			missingMs: status.missingSinceMs === undefined ? undefined : nowMs - status.missingSinceMs,
		});
		return Math.max(this.#retryNotBeforeMs - nowMs, delayMs);
	}

	#recordSuccess(durationMs: number): void {
		const {metrics, log, dataSet: {name}} = this.deps;
		metrics.count(`source.reads.${name}`);
		metrics.latency(`source.time.${name}`, durationMs);
		this.#isSlow = durationMs > SLOW_READ_MS;
		if (this.#isSlow) {
			log.warn({event: 'source-slow', dataSet: name, ms: Math.round(durationMs)});
		}

		if (this.#consecutiveFailures > 0) {
			log.info({event: 'source-regained', dataSet: name, failures: this.#consecutiveFailures});
		}

		this.#consecutiveFailures = 0;
	}

	#recordFailure(error: Error): void {
		const {clock, random, log, metrics, schedule, dataSet: {name, status}} = this.deps;
		this.#consecutiveFailures++;
		metrics.count(`source.failures.${name}`);
		const backoffMs = jitter(random, Math.min(MAX_BACKOFF_MS, schedule.intervalMs * this.#consecutiveFailures), BACKOFF_JITTER_RATIO);
		const nowMs = clock.monotonic();
		this.#retryNotBeforeMs = nowMs + backoffMs;
		log.warn({
			event: 'source-lost', dataSet: name, message: error.message, failures: this.#consecutiveFailures, ageMs: Math.round(nowMs - status.freshAtMs), nextInMs: Math.round(backoffMs),
		});
	}
}
