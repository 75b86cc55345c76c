import {hashText} from '@apricotwood/routing';

/** First guess of the objects that a worker remembers. */
const FIRST_CAPACITY = 24;
const MIN_CAPACITY = 8;
/** Objects that are kept in mind of each worker, warm or not. */
const MAX_OBJECTS = 400;
/** Part by which one observation moves the learnt capacity. */
const LEARNING = 0.08;
/** An object this far inside the capacity is surely warm, as a part of it. */
const SURE_PART = 0.5;

/** What is known of an object at a worker. */
export enum Warmth {
	/** Handled lately. */
	Sure = 'sure',
	/** Handled not long ago; other objects came after it. */
	Likely = 'likely',
	Cold = 'cold',
}

/** Hash of an object; the same object of another service is another one. */
export function hashObject(service: string, object: string): number {
	return hashText(object, hashText(service));
}

/** Objects that one worker has handled, the latest last. */
class RecentObjects {
	readonly #objects = new Set<number>();

	touch(object: number): void {
		this.#objects.delete(object);
		this.#objects.add(object);
		if (this.#objects.size > MAX_OBJECTS) {
			const [oldest] = this.#objects;
			this.#objects.delete(oldest!);
		}
	}

	get size(): number {
		return this.#objects.size;
	}

	/** Objects that were handled after this one; `undefined` when it is not known. */
	distance(object: number): number | undefined {
		if (!this.#objects.has(object)) {
			return undefined;
		}

		let before = 0;
		for (const other of this.#objects) {
			if (other === object) {
				break;
			}

			before++;
		}

		return this.#objects.size - 1 - before;
	}
}

/**
 * Which objects are warm at which workers, from the requests that all hosts
 * have sent there. A worker remembers few objects and forgets the least
 * recently used one first; how many it remembers is learnt for each service
 * from the answers that were fast or slow.
 */
export class WarmObjects {
	readonly #byWorker = new Map<number, RecentObjects>();
	readonly #capacities = new Map<string, number>();

	/** Objects that a worker of the service is taken to remember. */
	capacity(service: string): number {
		return this.#capacities.get(service) ?? FIRST_CAPACITY;
	}

	/** Learnt capacities, by service. */
	capacities(): Record<string, number> {
		return Object.fromEntries(Array.from(this.#capacities, ([service, capacity]) => [service, Math.round(capacity)]));
	}

	record(worker: number, object: number): void {
		let recent = this.#byWorker.get(worker);
		if (!recent) {
			recent = new RecentObjects();
			this.#byWorker.set(worker, recent);
		}

		recent.touch(object);
	}

	/** @param sent worker and object hashes, in turn. */
	recordAll(sent: readonly number[]): void {
		for (let index = 0; index + 1 < sent.length; index += 2) {
			this.record(sent[index]!, sent[index + 1]!);
		}
	}

	/** Number of objects that the worker is known to have handled. */
	known(worker: number): number {
		return this.#byWorker.get(worker)?.size ?? 0;
	}

	distance(worker: number, object: number): number | undefined {
		return this.#byWorker.get(worker)?.distance(object);
	}

	judge(service: string, distance: number | undefined): Warmth {
		const capacity = this.capacity(service);
		if (distance === undefined || distance >= capacity) {
			return Warmth.Cold;
		}

		return distance < capacity * SURE_PART ? Warmth.Sure : Warmth.Likely;
	}

	/** Takes whether an object was found warm, at the distance that it had when the request was sent. */
	learn(service: string, distance: number | undefined, wasWarm: boolean): void {
		if (distance === undefined) {
			return;
		}

		const capacity = this.capacity(service);
		if (wasWarm && distance >= capacity) {
			this.#capacities.set(service, capacity + ((distance + 1 - capacity) * LEARNING));
		} else if (!wasWarm && distance < capacity && distance >= capacity * SURE_PART) {
			this.#capacities.set(service, Math.max(MIN_CAPACITY, capacity - ((capacity - distance) * LEARNING)));
		}
	}

	/** A worker that has started anew remembers nothing. */
	forget(worker: number): void {
		this.#byWorker.delete(worker);
	}
}
