import type {Buffer} from 'node:buffer';
import type {Clock} from '@apricotwood/clock';

/** A complete response, kept so that a repeated request receives the same one. */
export type StoredResponse = {
	readonly status: number;
	/** Alternating header names and values. */
	readonly headers: readonly string[];
	readonly body: Buffer;
};

/** Execution state of a request id. */
export enum RequestState {
	Running = 'running',
	Answered = 'answered',
	/** A response was sent but is not stored, because it did not fit. */
	AnsweredNotKept = 'answered-not-kept',
	/** The request may have run; its response is not known. */
	Unknown = 'unknown',
}

/** Stored state of one request id. */
export class RequestRecord {
	state = RequestState.Running;
	response: StoredResponse | undefined;
	readonly #waiters = new Set<() => void>();

	constructor(
		readonly digest: string,
		/** The record is kept at least until this time, Unix ms. */
		public expiresAtMs: number,
	) {}

	/** Sets the final state and resolves all waits; has no effect on a settled record. */
	settle(state: RequestState, response?: StoredResponse): void {
		if (this.state !== RequestState.Running) {
			return;
		}

		this.state = state;
		this.response = response;
		for (const notify of this.#waiters) {
			notify();
		}

		this.#waiters.clear();
	}

	/** Resolves when the record is settled or `signal` is aborted. */
	async waitUntilSettled(signal: AbortSignal): Promise<void> {
		if (this.state !== RequestState.Running || signal.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const notify = () => {
				this.#waiters.delete(notify);
				signal.removeEventListener('abort', notify);
				resolve();
			};

			this.#waiters.add(notify);
			signal.addEventListener('abort', notify, {once: true});
		});
	}
}

/** Result of {@link IdempotencyStore.begin}. */
export enum BeginResult {
	/** The id is new; the caller must run the request and complete or remove the record. */
	Started = 'started',
	/** The id exists with the same digest. */
	Known = 'known',
	/** The id exists with a different digest. */
	Conflict = 'conflict',
	/** The store is full. */
	Full = 'full',
}

/** Result of {@link IdempotencyStore.begin} and the id's record; `undefined` if the store is full. */
export type BeginOutcome = {readonly result: BeginResult; readonly record: RequestRecord | undefined};

/** Bounds of an {@link IdempotencyStore}. */
export type IdempotencyStoreOptions = {
	readonly clock: Clock;
	/** Maximum number of request ids. */
	readonly maxRecords: number;
	/** Maximum size of stored responses and record overhead, bytes. */
	readonly maxBytes: number;
};

/** Eviction stops after skipping more than this many records that must be kept, to bound its cost. */
const MAX_EVICTION_SKIPS = 64;

/** Size counted for a record in addition to its response, bytes. */
const RECORD_OVERHEAD_BYTES = 512;

/**
 * In-memory store of the request ids that this incarnation runs or has run, for
 * deduplication. An expired id is evicted only when space is needed, so that a
 * late repeat with a newer ticket is still recognized.
 */
export class IdempotencyStore {
	readonly #records = new Map<string, RequestRecord>();
	#bytes = 0;

	constructor(private readonly options: IdempotencyStoreOptions) {}

	get size(): number {
		return this.#records.size;
	}

	/** Size of stored responses and record overhead, bytes. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Looks up an id and inserts it if it is new, atomically. Extends the expiry of an existing record. */
	begin(key: string, digest: string, expiresAtMs: number): BeginOutcome {
		const existing = this.#records.get(key);
		if (existing) {
			existing.expiresAtMs = Math.max(existing.expiresAtMs, expiresAtMs);
			return {result: existing.digest === digest ? BeginResult.Known : BeginResult.Conflict, record: existing};
		}

		if (this.#isFull()) {
			this.#evictExpired();
		}

		if (this.#isFull()) {
			return {result: BeginResult.Full, record: undefined};
		}

		const record = new RequestRecord(digest, expiresAtMs);
		this.#records.set(key, record);
		this.#bytes += RECORD_OVERHEAD_BYTES;
		return {result: BeginResult.Started, record};
	}

	/** Settles a record as answered and stores the response if it fits within `maxBytes`. */
	complete(record: RequestRecord, response: StoredResponse | undefined): void {
		const fits = response !== undefined && this.#bytes + countBytes(response) <= this.options.maxBytes;
		if (fits) {
			this.#bytes += countBytes(response);
			record.settle(RequestState.Answered, response);
		} else {
			record.settle(RequestState.AnsweredNotKept);
		}
	}

	/** Removes an id. Callers may use it only for a request that is known not to have run. */
	remove(key: string): void {
		const record = this.#records.get(key);
		if (record) {
			this.#bytes -= RECORD_OVERHEAD_BYTES + (record.response ? countBytes(record.response) : 0);
			this.#records.delete(key);
		}
	}

	/** Time until the oldest record expires, ms; at least 1. */
	get retryAfterMs(): number {
		const [oldest] = this.#records.values();
		return oldest ? Math.max(1, oldest.expiresAtMs - this.options.clock.now()) : 1;
	}

	#isFull(): boolean {
		return this.#records.size >= this.options.maxRecords || this.#bytes + RECORD_OVERHEAD_BYTES > this.options.maxBytes;
	}

	#isEvictable(record: RequestRecord): boolean {
		return record.state !== RequestState.Running && record.expiresAtMs <= this.options.clock.now();
	}

	/** Evicts settled, expired records, oldest first, until too many others were skipped. */
	#evictExpired(): void {
		let skipped = 0;
		for (const [key, record] of this.#records) {
			if (this.#isEvictable(record)) {
				this.remove(key);
				continue;
			}

			skipped++;
			if (skipped > MAX_EVICTION_SKIPS) {
				return;
			}
		}
	}
}

function countBytes(response: StoredResponse): number {
	let bytes = response.body.length;
	for (const text of response.headers) {
		bytes += text.length;
	}

	return bytes;
}
