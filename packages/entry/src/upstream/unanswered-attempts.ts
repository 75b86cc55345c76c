import type {Clock, Timer} from '@apricotwood/clock';
import type {Worker} from '@apricotwood/steering';
import {ProbeResult} from './connector.js';

/** Dependencies of `UnansweredAttempts`. */
export type UnansweredAttemptsDeps = {
	readonly clock: Clock;
	/** Finds the present registration of a worker. */
	readonly findWorker: (id: string) => Worker | undefined;
	/** Whether the worker is expected to end. */
	readonly isLeaving: (worker: Worker) => boolean;
	/** Opens a connection to a worker and closes it again. */
	readonly probe: (worker: Worker) => Promise<ProbeResult>;
	/** Called when a worker has ended; `take` returns the requests that it may have been running. */
	readonly onWorkerEnd: (worker: Worker) => void;
};

/** A worker that may still run requests for which this host no longer waits. */
type WatchedWorker = {
	readonly worker: Worker;
	/** End of the responsibility of each request, by fingerprint, monotonic ms; the oldest attempt first. */
	readonly requests: Map<string, number>;
	/** Latest time at which the worker is known to have run, monotonic ms. */
	aliveAtMs: number;
	delayMs: number;
	timer: Timer | undefined;
};

/** Time after the deadline and the cancellation of an attempt for which its worker may still run it, ms. */
const RESPONSIBILITY_MS = 3000;
/** Time until the first look whether the worker still runs, ms; doubles with each further one. */
const FIRST_CHECK_DELAY_MS = 250;
/** Longest time between two looks, ms. With the exchange between hosts it is below the time after which a crash must be known. */
const MAX_CHECK_DELAY_MS = 1500;
/** Maximum number of workers that are watched. */
const MAX_WORKERS = 128;
/** Maximum number of requests of one worker; the oldest ones are dropped first. */
const MAX_REQUESTS_PER_WORKER = 64;

/**
 * Keeps the attempts that this host has cancelled before their worker responded:
 * the worker may still run them, and crash. A request is released when it gets a
 * response anywhere, or when the worker is seen to run after the end of its
 * responsibility. Workers that send this host no responses are probed meanwhile.
 */
export class UnansweredAttempts {
	readonly #watched = new Map<string, WatchedWorker>();

	constructor(private readonly deps: UnansweredAttemptsDeps) {}

	/** Whether no attempt is kept, as nearly always. */
	get isEmpty(): boolean {
		return this.#watched.size === 0;
	}

	/** Adds a cancelled attempt. @param deadlineAtMs deadline that the worker was told, monotonic ms. */
	add(worker: Worker, fingerprint: string, deadlineAtMs: number): void {
		const watched = this.#getOrWatch(worker);
		if (!watched) {
			return;
		}

		watched.requests.delete(fingerprint);
		watched.requests.set(fingerprint, Math.max(deadlineAtMs, this.deps.clock.monotonic()) + RESPONSIBILITY_MS);
		if (watched.requests.size > MAX_REQUESTS_PER_WORKER) {
			const [oldest] = watched.requests.keys();
			watched.requests.delete(oldest!);
		}
	}

	/** Records that a worker has responded to a request. */
	recordResponse({registration: {id, bornMs}}: Worker): void {
		const watched = this.#watched.get(id);
		if (watched?.worker.registration.bornMs === bornMs) {
			watched.aliveAtMs = this.deps.clock.monotonic();
		}
	}

	/** Releases a request that has been run to a response. */
	release(fingerprint: string): void {
		for (const {requests} of this.#watched.values()) {
			requests.delete(fingerprint);
		}
	}

	/** Removes and returns the requests that a worker may have been running when it ended. */
	take({registration: {id, bornMs}}: Worker): string[] {
		const watched = this.#watched.get(id);
		if (watched?.worker.registration.bornMs !== bornMs) {
			return [];
		}

		this.#drop(watched);
		return [...watched.requests.keys()];
	}

	#getOrWatch(worker: Worker): WatchedWorker | undefined {
		const {id, bornMs} = worker.registration;
		const watched = this.#watched.get(id);
		if (watched?.worker.registration.bornMs === bornMs) {
			return watched;
		}

		if (watched && watched.worker.registration.bornMs > bornMs) {
			// An attempt at an earlier start.
			return undefined;
		}

		if (watched) {
			this.#end(watched);
		}

		if (this.#watched.size >= MAX_WORKERS) {
			return undefined;
		}

		return this.#watch(worker);
	}

	#watch(worker: Worker): WatchedWorker {
		const created: WatchedWorker = {
			worker, requests: new Map(), aliveAtMs: this.deps.clock.monotonic(), delayMs: FIRST_CHECK_DELAY_MS, timer: undefined,
		};
		this.#watched.set(worker.registration.id, created);
		this.#schedule(created);
		return created;
	}

	#schedule(watched: WatchedWorker): void {
		watched.timer = this.deps.clock.after(watched.delayMs, () => {
			void this.#check(watched);
		});
		watched.delayMs = Math.min(MAX_CHECK_DELAY_MS, watched.delayMs * 2);
	}

	async #check(watched: WatchedWorker): Promise<void> {
		const {worker} = watched;
		const current = this.deps.findWorker(worker.registration.id);
		if (!current || this.deps.isLeaving(current) || watched.requests.size === 0) {
			this.#drop(watched);
			return;
		}

		const hasRestarted = current.registration.bornMs !== worker.registration.bornMs;
		if (hasRestarted || await this.#probe(watched) === ProbeResult.Refused) {
			this.#end(watched);
			return;
		}

		this.#releaseEnded(watched);
		if (watched.requests.size === 0) {
			this.#drop(watched);
		} else if (this.#watched.get(worker.registration.id) === watched) {
			this.#schedule(watched);
		}
	}

	/** Probes a worker unless it has responded since the last look. */
	async #probe(watched: WatchedWorker): Promise<ProbeResult> {
		const {clock, probe} = this.deps;
		const nowMs = clock.monotonic();
		if (nowMs - watched.aliveAtMs < FIRST_CHECK_DELAY_MS) {
			return ProbeResult.Accepted;
		}

		const result = await probe(watched.worker);
		if (result === ProbeResult.NoResponse) {
			// The path may be cut: a crash could not be told from that any more.
			watched.requests.clear();
		} else if (result === ProbeResult.Accepted) {
			watched.aliveAtMs = Math.max(watched.aliveAtMs, nowMs);
		}

		return result;
	}

	#end(watched: WatchedWorker): void {
		this.deps.onWorkerEnd(watched.worker);
		this.#drop(watched);
	}

	#releaseEnded({requests, aliveAtMs}: WatchedWorker): void {
		for (const [fingerprint, untilMs] of requests) {
			if (untilMs <= aliveAtMs) {
				requests.delete(fingerprint);
			}
		}
	}

	#drop(watched: WatchedWorker): void {
		watched.timer?.cancel();
		const {id} = watched.worker.registration;
		if (this.#watched.get(id) === watched) {
			this.#watched.delete(id);
		}
	}
}
