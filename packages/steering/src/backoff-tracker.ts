import {mixHashes} from '@apricotwood/blocks';
import type {Worker} from './fleet.js';

/** Backoff of one worker. Times are monotonic ms. */
type Backoff = {
	/** Start of the worker that asked for it, Unix ms, the latest one that is known. */
	readonly bornMs: number;
	/** Time until which the worker gets nothing. */
	readonly untilMs: number;
	/** Earliest time of the next trial; counts once the backoff is over. */
	nextTrialMs: number;
	/** Time between two trials, ms. */
	readonly trialIntervalMs: number;
};

/** Longest time between two trials after a backoff, ms. After a shorter backoff it is as long as this was. */
const MAX_TRIAL_INTERVAL_MS = 500;
/** Longest delay by which the hosts return at different times, ms, and its ratio to the backoff. */
const MAX_SPREAD_MS = 500;
const SPREAD_RATIO = 0.2;
/** Number of hash values that are told apart in the spread. */
const SPREAD_STEPS = 1024;
/** Number of workers above which the one that has been known for longest is forgotten. */
const MAX_WORKERS = 2000;

/**
 * Tracks until when workers have told this host to send nothing (`Retry-After`).
 * A later response to an earlier request, or a passed health check, does not end
 * a backoff; of several, the longest applies. Afterwards the host sends a trial now
 * and then, the hosts at different times, until one is not rejected, so that the
 * worker does not get at once all that was held back. A later start of the worker
 * ends its backoff; an entry of an earlier start, from a store that was restored,
 * does not. Times are monotonic ms.
 */
export class BackoffTracker {
	readonly #backoffs = new Map<number, Backoff>();

	/** @param hostHash hash of this host's id; determines when it returns after a backoff. */
	constructor(private readonly hostHash: number) {}

	/** End of the backoff of a worker; `-Infinity` if there is none. */
	getEndMs(worker: Worker): number {
		return this.#get(worker)?.untilMs ?? Number.NEGATIVE_INFINITY;
	}

	/** Earliest time at which this host may send a new request to the worker; `-Infinity` if at any time. */
	getNextSendMs(worker: Worker): number {
		const backoff = this.#get(worker);
		return backoff ? Math.max(backoff.untilMs, backoff.nextTrialMs) : Number.NEGATIVE_INFINITY;
	}

	/** Records that the worker has rejected a request and asked to wait. @returns whether no backoff was in progress. */
	recordRejection(worker: Worker, retryAfterMs: number, nowMs: number): boolean {
		const {hash, registration: {bornMs}} = worker;
		const previous = this.#get(worker);
		if (retryAfterMs <= 0) {
			return false;
		}

		const previousEndMs = previous?.untilMs ?? Number.NEGATIVE_INFINITY;
		const untilMs = Math.max(previousEndMs, nowMs + retryAfterMs + this.#computeSpreadMs(hash, retryAfterMs));
		this.#put(hash, {
			bornMs: Math.max(bornMs, previous?.bornMs ?? 0), untilMs, nextTrialMs: untilMs, trialIntervalMs: Math.min(MAX_TRIAL_INTERVAL_MS, retryAfterMs),
		});
		return previousEndMs <= nowMs;
	}

	/** Records a response without a time to wait. It ends the trials if its request was one. @param sentAtMs time at which the request was sent. */
	recordResponse(worker: Worker, sentAtMs: number): void {
		const backoff = this.#get(worker);
		if (backoff && sentAtMs >= backoff.untilMs) {
			this.#backoffs.delete(worker.hash);
		}
	}

	/** Records a request to the worker; after a backoff it is a trial. */
	recordSend(worker: Worker, nowMs: number): void {
		const backoff = this.#get(worker);
		if (backoff) {
			backoff.nextTrialMs = nowMs + backoff.trialIntervalMs;
		}
	}

	#get({hash, registration}: Worker): Backoff | undefined {
		const backoff = this.#backoffs.get(hash);
		return backoff && registration.bornMs <= backoff.bornMs ? backoff : undefined;
	}

	#put(worker: number, backoff: Backoff): void {
		this.#backoffs.delete(worker);
		this.#backoffs.set(worker, backoff);
		if (this.#backoffs.size > MAX_WORKERS) {
			const [oldest] = this.#backoffs.keys();
			this.#backoffs.delete(oldest!);
		}
	}

	#computeSpreadMs(worker: number, retryAfterMs: number): number {
		const phase = (mixHashes(worker, this.hostHash) % SPREAD_STEPS) / SPREAD_STEPS;
		return phase * Math.min(MAX_SPREAD_MS, retryAfterMs * SPREAD_RATIO);
	}
}
