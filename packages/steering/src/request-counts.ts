/** Mean requests per object at which all counts are halved. */
const MAX_MEAN_COUNT = 8;
/** Requests below which the counts are not halved. */
const MIN_TOTAL = 200;
/** Count below which an object or a worker is forgotten when the counts are halved. */
const MIN_COUNT = 0.4;

/** Counts recent requests by object and by worker, with exponential decay. Objects and workers are identified by their hashes. */
export class RequestCounts {
	readonly #byObject = new Map<number, number>();
	readonly #byWorker = new Map<number, number>();
	#total = 0;

	record(worker: number, object: number): void {
		this.#byObject.set(object, this.getByObject(object) + 1);
		this.#byWorker.set(worker, this.getByWorker(worker) + 1);
		this.#total++;
		if (this.#total > Math.max(MIN_TOTAL, this.#byObject.size * MAX_MEAN_COUNT)) {
			this.#total /= 2;
			halve(this.#byObject);
			halve(this.#byWorker);
		}
	}

	getByObject(object: number): number {
		return this.#byObject.get(object) ?? 0;
	}

	getByWorker(worker: number): number {
		return this.#byWorker.get(worker) ?? 0;
	}
}

function halve(counts: Map<number, number>): void {
	for (const [key, count] of counts) {
		if (count / 2 < MIN_COUNT) {
			counts.delete(key);
		} else {
			counts.set(key, count / 2);
		}
	}
}
