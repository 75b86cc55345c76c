import {
	jitter, sleep, type Clock, type Random,
} from '@apricotwood/clock';
import type {Row, Table} from '@apricotwood/store';

/** Prefix of all rows that every host follows. */
export const CONTROL_PREFIX = 'control/';

const SCAN_JITTER_RATIO = 0.1;

export type FeedOptions = {
	readonly table: Table;
	readonly clock: Clock;
	readonly random: Random;
	readonly intervalMs: number;
	/** Called when a scan got no answer. */
	readonly onFailure: (error: Error) => void;
};

type Subscriber = {
	readonly prefix: string;
	readonly apply: (rows: readonly Row[]) => void;
};

/** Follows the changes of the control rows by one scan at a time and hands them to those who asked. */
export class ControlFeed {
	readonly #subscribers: Subscriber[] = [];
	#afterVersion = 0;
	#scanInFlight: Promise<void> | undefined;

	constructor(private readonly options: FeedOptions) {}

	/** The table's version up to which every change was seen. */
	get version(): number {
		return this.#afterVersion;
	}

	/** Hands over rows whose key starts with `prefix`, in order, each change once. */
	subscribe(prefix: string, apply: (rows: readonly Row[]) => void): void {
		this.#subscribers.push({prefix, apply});
	}

	/**
	 * Reads prefixes apart, each from its own version, before the first common scan;
	 * so a start need not replay what a snapshot already holds.
	 * @throws when the platform gives no answer.
	 */
	async loadInitialRows(scans: ReadonlyArray<{prefix: string; after: number}>): Promise<void> {
		let upTo = Number.POSITIVE_INFINITY;
		for (const {prefix, after} of scans) {
			const result = await this.options.table.scan(prefix, after); // eslint-disable-line no-await-in-loop
			upTo = Math.min(upTo, result.upTo);
			this.#notifySubscribers(result.rows);
		}

		this.#afterVersion = upTo;
	}

	/**
	 * Scans now, or joins the scan under way.
	 * @throws when the platform gives no answer.
	 */
	async refresh(): Promise<void> {
		this.#scanInFlight ??= this.#scan().finally(() => {
			this.#scanInFlight = undefined;
		});
		return this.#scanInFlight;
	}

	/** Scans until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random, intervalMs, onFailure} = this.options;
		while (!signal.aborted) {
			try {
				await this.refresh(); // eslint-disable-line no-await-in-loop
			} catch (error) {
				onFailure(error as Error);
			}

			await sleep(clock, jitter(random, intervalMs, SCAN_JITTER_RATIO), signal); // eslint-disable-line no-await-in-loop
		}
	}

	async #scan(): Promise<void> {
		const {rows, upTo} = await this.options.table.scan(CONTROL_PREFIX, this.#afterVersion);
		this.#afterVersion = Math.max(this.#afterVersion, upTo);
		this.#notifySubscribers(rows);
	}

	#notifySubscribers(rows: readonly Row[]): void {
		for (const {prefix, apply} of this.#subscribers) {
			const matching = rows.filter(row => row.key.startsWith(prefix));
			if (matching.length > 0) {
				apply(matching);
			}
		}
	}
}
