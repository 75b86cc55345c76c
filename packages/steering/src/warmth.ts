/** Objects that one worker has handled lately, the latest last. */
class RecentObjects {
	readonly #objects = new Set<number>();

	touch(object: number, capacity: number): void {
		this.#objects.delete(object);
		this.#objects.add(object);
		if (this.#objects.size > capacity) {
			const [oldest] = this.#objects;
			this.#objects.delete(oldest!);
		}
	}

	has(object: number): boolean {
		return this.#objects.has(object);
	}
}

/**
 * Which objects are warm at which workers, from the requests that all hosts
 * have sent there. A worker remembers few objects; the least recently used one
 * is forgotten first.
 */
export class WarmObjects {
	readonly #byWorker = new Map<number, RecentObjects>();

	/** @param capacity objects that a worker is taken to remember. */
	constructor(private readonly capacity: number) {}

	record(worker: number, object: number): void {
		let recent = this.#byWorker.get(worker);
		if (!recent) {
			recent = new RecentObjects();
			this.#byWorker.set(worker, recent);
		}

		recent.touch(object, this.capacity);
	}

	isWarm(worker: number, object: number): boolean {
		return this.#byWorker.get(worker)?.has(object) ?? false;
	}

	/** A worker that has started anew remembers nothing. */
	forget(worker: number): void {
		this.#byWorker.delete(worker);
	}
}
