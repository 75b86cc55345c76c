import type {Clock, Random} from '@apricotwood/clock';
import {PlatformError, PlatformFailure} from '../error.js';
import type {
	CommitResult, HostList, ListedAddress, ObjectStore, Platform, Row, RowWrite, ScanResult, Table,
} from '../platform.js';
import {CircuitBreaker, BreakerState} from './circuit-breaker.js';
import {TokenBucket} from './token-bucket.js';

/** Limits on one host's calls to the platform. */
export type ResilienceOptions = {
	readonly clock: Clock;
	readonly random: Random;
	/** Timeout of a call, ms. @default 1000 */
	readonly deadlineMs?: number;
	/** Sustained rate of reads. @default 20 */
	readonly readsPerSecond?: number;
	/** Sustained rate of writes. @default 20 */
	readonly writesPerSecond?: number;
};

const DEFAULT_TIMEOUT_MS = 1000;
const DEFAULT_READS_PER_SECOND = 20;
const DEFAULT_WRITES_PER_SECOND = 20;
/** Capacity of the token buckets, as seconds of calls at the sustained rate. */
const BURST_SECONDS = 3;

/** Calls sent and calls failed since startup, for metrics; rejected calls are not included. */
export type CallCounts = {
	reads: number;
	writes: number;
	failures: number;
};

/** Applies rate limits, a timeout and a circuit breaker to a host's calls to the platform. */
export class ResilientPlatform implements Platform {
	readonly counts: CallCounts = {reads: 0, writes: 0, failures: 0};
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly hosts: HostList;
	readonly #breaker: CircuitBreaker;
	readonly #readBucket: TokenBucket;
	readonly #writeBucket: TokenBucket;
	#lastResponseMs: number;

	constructor(private readonly platform: Platform, private readonly options: ResilienceOptions) {
		const {clock, random} = options;
		const readsPerSecond = options.readsPerSecond ?? DEFAULT_READS_PER_SECOND;
		const writesPerSecond = options.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND;
		this.#breaker = new CircuitBreaker(clock, random);
		this.#readBucket = new TokenBucket(clock, readsPerSecond, readsPerSecond * BURST_SECONDS);
		this.#writeBucket = new TokenBucket(clock, writesPerSecond, writesPerSecond * BURST_SECONDS);
		this.#lastResponseMs = clock.monotonic();
		this.table = this.#wrapTable();
		this.objects = this.#wrapObjects();
		this.hosts = {list: async (): Promise<readonly ListedAddress[]> => this.#read(async () => platform.hosts.list())};
	}

	/** Whether the circuit breaker is closed. */
	get isAvailable(): boolean {
		return this.#breaker.state === BreakerState.Closed;
	}

	/** Time of the last successful response, monotonic ms; the time of construction before the first one. */
	get lastResponseMs(): number {
		return this.#lastResponseMs;
	}

	#wrapTable(): Table {
		const {table} = this.platform;
		return {
			read: async (key: string): Promise<Row | undefined> => this.#read(async () => table.read(key)),
			scan: async (prefix: string, afterVersion: number): Promise<ScanResult> => this.#read(async () => table.scan(prefix, afterVersion)),
			commit: async (writes: readonly RowWrite[]): Promise<CommitResult> => this.#write(async () => table.commit(writes)),
		};
	}

	#wrapObjects(): ObjectStore {
		const {objects} = this.platform;
		return {
			put: async (name: string, body: string): Promise<void> => this.#write(async () => objects.put(name, body)),
			get: async (name: string): Promise<string | undefined> => this.#read(async () => objects.get(name)),
		};
	}

	async #read<T>(call: () => Promise<T>): Promise<T> {
		this.#admit(this.#readBucket, 'read');
		this.counts.reads++;
		return this.#execute(call);
	}

	async #write<T>(call: () => Promise<T>): Promise<T> {
		this.#admit(this.#writeBucket, 'write');
		this.counts.writes++;
		return this.#execute(call);
	}

	/**
	 * Admits a call and takes a token for it.
	 * @throws {PlatformError} if the circuit breaker or the rate limit rejects the call.
	 */
	#admit(bucket: TokenBucket, operation: string): void {
		// Asked before the breaker: a probe that the rate limit rejects would have no result, and the breaker would stay half-open.
		if (bucket.isEmpty) {
			throw new PlatformError(PlatformFailure.NotSent, `this host's ${operation} rate limit for the platform is exceeded; retry later`);
		}

		if (!this.#breaker.tryAdmit()) {
			throw new PlatformError(PlatformFailure.NotSent, `the circuit breaker is not closed; the ${operation} was not sent to the platform`);
		}

		bucket.tryTake();
	}

	async #execute<T>(call: () => Promise<T>): Promise<T> {
		try {
			const result = await this.#withTimeout(call());
			this.#breaker.recordSuccess();
			this.#lastResponseMs = this.options.clock.monotonic();
			return result;
		} catch (error) {
			this.counts.failures++;
			this.#breaker.recordFailure();
			throw error;
		}
	}

	async #withTimeout<T>(pending: Promise<T>): Promise<T> {
		const timeoutMs = this.options.deadlineMs ?? DEFAULT_TIMEOUT_MS;
		return new Promise<T>((resolve, reject) => {
			const timer = this.options.clock.after(timeoutMs, () => {
				reject(new PlatformError(PlatformFailure.NoResponse, `the platform did not respond within ${timeoutMs} ms`));
			});
			pending.then(resolve, reject).finally(() => {
				timer.cancel();
			});
		});
	}
}
