import type {Worker} from './fleet.js';

/** A worker that has said in a response that it is leaving. */
export type DrainReport = {
	/** Hash of the worker's id. */
	readonly worker: number;
	/** Start of the worker, Unix ms. */
	readonly bornMs: number;
};

/** Number of workers above which the one that has been known for longest is forgotten. */
const MAX_WORKERS = 2000;

/**
 * Tracks the workers that have said in a response that they are leaving, as seen
 * by this host and by its peers. Only a later start of the worker ends it: its
 * entry in the store may lag behind, and its responses may overtake each other.
 */
export class DrainTracker {
	/** Start of the worker that is leaving, by the hash of its id, in the order in which this became known. */
	readonly #bornMs = new Map<number, number>();

	/** Whether the worker, in its present incarnation, has said that it is leaving. An entry of an earlier start, from a store that was restored, changes nothing. */
	isDraining({hash, registration}: Worker): boolean {
		return registration.bornMs <= (this.#bornMs.get(hash) ?? Number.NEGATIVE_INFINITY);
	}

	/** Records that a worker is leaving. @returns whether this was not known. */
	record({worker, bornMs}: DrainReport): boolean {
		const knownMs = this.#bornMs.get(worker);
		if (knownMs !== undefined && knownMs >= bornMs) {
			return false;
		}

		this.#bornMs.delete(worker);
		this.#bornMs.set(worker, bornMs);
		if (this.#bornMs.size > MAX_WORKERS) {
			const [oldest] = this.#bornMs.keys();
			this.#bornMs.delete(oldest!);
		}

		return true;
	}

	/** Discards what is known of a worker that does not report its start, after a restart. */
	reset({hash, registration}: Worker): void {
		if (registration.bornMs === 0) {
			this.#bornMs.delete(hash);
		}
	}
}
