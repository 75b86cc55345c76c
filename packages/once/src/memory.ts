import type {Buffer} from 'node:buffer';
import type {Clock} from '@apricotwood/clock';

/** A whole answer, kept so that a repeat gets the same one. */
export type StoredAnswer = {
	readonly status: number;
	/** Names and values in turn. */
	readonly headers: readonly string[];
	readonly body: Buffer;
};

/** How a request id ended. */
export enum RunState {
	Running = 'running',
	Answered = 'answered',
	/** Answered, but too large to keep. */
	AnsweredNotKept = 'answered-not-kept',
	Unknown = 'unknown',
}

/** What is remembered of one request id. */
export class RunRecord {
	state = RunState.Running;
	answer: StoredAnswer | undefined;
	readonly #waiting = new Set<() => void>();

	constructor(
		readonly digest: string,
		/** Unix ms; the record is kept at least until then. */
		public expiresAtMs: number,
	) {}

	settle(state: RunState, answer?: StoredAnswer): void {
		if (this.state !== RunState.Running) {
			return;
		}

		this.state = state;
		this.answer = answer;
		for (const wake of this.#waiting) {
			wake();
		}

		this.#waiting.clear();
	}

	/** Resolves when the run has ended, or when `signal` is aborted. */
	async ended(signal: AbortSignal): Promise<void> {
		if (this.state !== RunState.Running || signal.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const wake = () => {
				this.#waiting.delete(wake);
				signal.removeEventListener('abort', wake);
				resolve();
			};

			this.#waiting.add(wake);
			signal.addEventListener('abort', wake, {once: true});
		});
	}
}

/** What `begin` found for a request id. */
export enum BeginResult {
	/** The id is new; the caller runs it. */
	Started = 'started',
	/** The id is known with the same digest. */
	Known = 'known',
	/** The id is known with another digest. */
	Conflict = 'conflict',
	/** There is no room for another id. */
	Full = 'full',
}

export type Begun = {readonly result: BeginResult; readonly record: RunRecord | undefined};

export type MemoryOptions = {
	readonly clock: Clock;
	/** Most request ids remembered. */
	readonly maxRecords: number;
	/** Most bytes of answers kept. */
	readonly maxBytes: number;
};

/** A sweep looks at no more than this many ids that must be kept. */
const MAX_SWEEP_KEPT = 64;

/** Fixed cost of a record beside its answer, bytes. */
const RECORD_BYTES = 512;

/**
 * The request ids that this incarnation runs or has run. An id is forgotten only
 * after its expiry, and then only when its room is needed: a late repeat with a
 * newer ticket is still recognised.
 */
export class RequestMemory {
	readonly #records = new Map<string, RunRecord>();
	#bytes = 0;

	constructor(private readonly options: MemoryOptions) {}

	get size(): number {
		return this.#records.size;
	}

	/** Bytes kept, answers and records. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Looks an id up, or starts it; the check and the start are one step. */
	begin(key: string, digest: string, expiresAtMs: number): Begun {
		const known = this.#records.get(key);
		if (known) {
			known.expiresAtMs = Math.max(known.expiresAtMs, expiresAtMs);
			return {result: known.digest === digest ? BeginResult.Known : BeginResult.Conflict, record: known};
		}

		if (this.#isFull()) {
			this.#sweep();
		}

		if (this.#isFull()) {
			return {result: BeginResult.Full, record: undefined};
		}

		const record = new RunRecord(digest, expiresAtMs);
		this.#records.set(key, record);
		this.#bytes += RECORD_BYTES;
		return {result: BeginResult.Started, record};
	}

	/** Ends a run with its answer; the answer is kept where it fits. */
	answer(record: RunRecord, answer: StoredAnswer | undefined): void {
		const fits = answer !== undefined && this.#bytes + sizeOf(answer) <= this.options.maxBytes;
		if (fits) {
			this.#bytes += sizeOf(answer);
			record.settle(RunState.Answered, answer);
		} else {
			record.settle(RunState.AnsweredNotKept);
		}
	}

	/** Forgets an id; only for one that is known not to have run. */
	forget(key: string): void {
		const record = this.#records.get(key);
		if (record) {
			this.#bytes -= RECORD_BYTES + (record.answer ? sizeOf(record.answer) : 0);
			this.#records.delete(key);
		}
	}

	/** Milliseconds until the oldest id can be forgotten. */
	get retryAfterMs(): number {
		const [oldest] = this.#records.values();
		return oldest ? Math.max(1, oldest.expiresAtMs - this.options.clock.now()) : 1;
	}

	#isFull(): boolean {
		return this.#records.size >= this.options.maxRecords || this.#bytes + RECORD_BYTES > this.options.maxBytes;
	}

	#isForgettable(record: RunRecord): boolean {
		return record.state !== RunState.Running && record.expiresAtMs <= this.options.clock.now();
	}

	/** Forgets the oldest ids that have expired; gives up behind a run of ids that have not. */
	#sweep(): void {
		let kept = 0;
		for (const [key, record] of this.#records) {
			if (this.#isForgettable(record)) {
				this.forget(key);
				continue;
			}

			kept++;
			if (kept > MAX_SWEEP_KEPT) {
				return;
			}
		}
	}
}

function sizeOf(answer: StoredAnswer): number {
	let bytes = answer.body.length;
	for (const text of answer.headers) {
		bytes += text.length;
	}

	return bytes;
}
