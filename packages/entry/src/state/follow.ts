import {
	jitter, sleep, type Clock, type Random,
} from '@apricotwood/clock';
import type {Log, Metrics} from '@apricotwood/telemetry';
import type {SteeringSource} from '../source.js';
import type {SharedState} from './shared.js';

export type FollowOptions = {
	/** Span between two reads of the host that reads for the others, ms. @default 500 */
	readonly intervalMs?: number;
	/** Age of what is known from which another host reads by itself, ms. @default 1000 */
	readonly takeoverMs?: number;
	/** Added for each host that should read before this one, ms. @default 150 */
	readonly rankStepMs?: number;
	/** Time after which a read counts as not answered, ms. @default 900 */
	readonly timeoutMs?: number;
};

const DEFAULTS: Required<FollowOptions> = {
	intervalMs: 500, takeoverMs: 1000, rankStepMs: 150, timeoutMs: 900,
};
/** Bounds of the span after which it is asked again whether a read is due, ms. */
const MIN_STEP_MS = 20;
const MAX_STEP_MS = 150;
const MAX_BACK_OFF_MS = 1500;
const BACK_OFF_JITTER = 0.3;

export type FollowDeps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly source: SteeringSource;
	readonly state: SharedState;
	/** Number of living hosts that should read before this one. */
	readonly rank: () => number;
	/** Called after each read that brought news, so that the others learn of it at once. */
	readonly onNews: () => void;
};

/** Time until a read is due, ms; 0 or less when it is. */
export function readDueInMs(rank: number, ageMs: number, sinceReadMs: number, {intervalMs, takeoverMs, rankStepMs}: Required<FollowOptions>): number {
	return rank === 0 ? intervalMs - sinceReadMs : takeoverMs + (rank * rankStepMs) - ageMs;
}

/**
 * Keeps the shared state fresh. One living host reads the source for all; each
 * other one reads by itself as soon as what it hears from its peers grows old,
 * in the order of their ranks. So a host without peers, and peers without the
 * reader, go on in about a second, and nothing has to be agreed on.
 */
export class Follower {
	readonly #options: Required<FollowOptions>;
	#failures = 0;
	#lastReadMs = Number.NEGATIVE_INFINITY;
	#notBeforeMs = Number.NEGATIVE_INFINITY;

	constructor(private readonly deps: FollowDeps, options: FollowOptions = {}) {
		this.#options = {...DEFAULTS, ...options};
	}

	/** Whether the source gave no answer lately. */
	get isFailing(): boolean {
		return this.#failures > 0;
	}

	async run(signal: AbortSignal): Promise<void> {
		const {clock, state, rank} = this.deps;
		while (!signal.aborted) {
			if (this.#dueInMs(rank()) <= 0) {
				await this.read(signal); // eslint-disable-line no-await-in-loop
			}

			state.sweep();
			await sleep(clock, Math.max(MIN_STEP_MS, Math.min(MAX_STEP_MS, this.#dueInMs(rank()))), signal); // eslint-disable-line no-await-in-loop
		}
	}

	/** Reads what has changed. A failure is logged, and the next read waits longer. */
	async read(signal: AbortSignal): Promise<void> {
		const {clock, state, source, onNews, log} = this.deps;
		const startMs = clock.monotonic();
		this.#lastReadMs = startMs;
		const {operations, workers} = state;
		const before = operations.changed + workers.changed;
		const timeout = new AbortController();
		const timer = clock.after(this.#options.timeoutMs, () => {
			timeout.abort(new Error('no answer in time'));
		});
		const both = AbortSignal.any([signal, timeout.signal]);
		try {
			const [newOperations, newWorkers] = await Promise.all([
				source.readOperations(operations.cursor || undefined, both),
				source.readWorkers(workers.cursor || undefined, both),
			]);
			state.applyOperations(newOperations, startMs);
			state.applyWorkers(newWorkers, startMs);
			this.#recordSuccess();
		} catch (error) {
			if (!signal.aborted) {
				this.#recordFailure(error as Error);
			}

			return;
		} finally {
			timer.cancel();
		}

		if (operations.changed + workers.changed !== before) {
			log.debug({event: 'news', operations: operations.changed, workers: workers.changed});
			onNews();
		}
	}

	#dueInMs(rank: number): number {
		const nowMs = this.deps.clock.monotonic();
		return Math.max(this.#notBeforeMs - nowMs, readDueInMs(rank, this.deps.state.ageMs(), nowMs - this.#lastReadMs, this.#options));
	}

	#recordSuccess(): void {
		this.deps.metrics.count('source.reads');
		if (this.#failures > 0) {
			this.deps.log.info({event: 'source-regained', failures: this.#failures});
		}

		this.#failures = 0;
	}

	#recordFailure(error: Error): void {
		const {clock, random, log, metrics, state} = this.deps;
		this.#failures++;
		metrics.count('source.failures');
		const pauseMs = jitter(random, Math.min(MAX_BACK_OFF_MS, this.#options.intervalMs * this.#failures), BACK_OFF_JITTER);
		this.#notBeforeMs = clock.monotonic() + pauseMs;
		log.warn({
			event: 'source-lost', message: error.message, failures: this.#failures, ageMs: Math.round(state.ageMs()), nextInMs: Math.round(pauseMs),
		});
	}
}
