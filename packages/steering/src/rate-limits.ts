/** What a host knows about the rate limit of one worker. */
export type RateLimit = {
	/** Hash of the worker's id. */
	readonly worker: number;
	/** Requests per second that the worker accepts from all hosts together; `undefined` if it no longer names a limit. */
	readonly perSecond: number | undefined;
	/** Number of changes that led to this limit, counted over all hosts; the higher version is the later one. */
	readonly version: number;
};

type LimitRecord = RateLimit & {
	/** Time of the last change as seen by this host, monotonic ms. */
	readonly changedAtMs: number;
	/** Time since which the worker has named limits without interruption, as seen by this host, monotonic ms; `undefined` while it names none. */
	readonly limitedSinceMs: number | undefined;
};

/** Time for which a limit that is no longer named is still reported to peers, ms; by then each has learned of the change. */
const LIFTED_REPORT_MS = 10_000;

/**
 * Tracks the rate limits that workers name in their responses, as seen by this
 * host and by its peers. A limit applies until a response names another one or
 * none. Each change raises the limit's version, so that hosts agree on the latest
 * one without comparing their clocks: a report can be repeated or arrive late or
 * out of order. Of two concurrent changes, the lower limit wins. A report that is
 * wrong, for example from before a partition, is corrected by the next response.
 * Times are monotonic ms, and workers are identified by the hash of their id.
 */
export class RateLimitTracker {
	readonly #records = new Map<number, LimitRecord>();

	/** Limit of a worker, requests per second; `undefined` if it names none. */
	get(worker: number): number | undefined {
		return this.#records.get(worker)?.perSecond;
	}

	/** Time since which the worker has named limits without interruption, monotonic ms; `undefined` if it names none. */
	getLimitedSinceMs(worker: number): number | undefined {
		return this.#records.get(worker)?.limitedSinceMs;
	}

	/**
	 * Records the limit that a response of the worker names.
	 * @param perSecond `undefined` if it names none.
	 * @returns whether this is a change.
	 */
	recordResponse(worker: number, perSecond: number | undefined, nowMs: number): boolean {
		const previous = this.#records.get(worker);
		if (previous?.perSecond === perSecond) {
			return false;
		}

		this.#put({worker, perSecond, version: (previous?.version ?? 0) + 1}, nowMs);
		return true;
	}

	/** Records a limit that a peer reports. @returns whether this is a change. */
	recordPeerReport(report: RateLimit, nowMs: number): boolean {
		const previous = this.#records.get(report.worker);
		if (previous && !supersedes(report, previous)) {
			return false;
		}

		this.#put(report, nowMs);
		return previous?.perSecond !== report.perSecond;
	}

	/** Limits to report to peers: those in force and those lifted recently. */
	listReports(nowMs: number): RateLimit[] {
		const reports: RateLimit[] = [];
		for (const {worker, perSecond, version, changedAtMs} of this.#records.values()) {
			if (perSecond !== undefined || nowMs - changedAtMs < LIFTED_REPORT_MS) {
				reports.push({worker, perSecond, version});
			}
		}

		return reports;
	}

	/** Discards the limit of a worker, after a restart. */
	reset(worker: number): void {
		this.#records.delete(worker);
	}

	#put({worker, perSecond, version}: RateLimit, nowMs: number): void {
		const limitedSinceMs = perSecond === undefined ? undefined : this.getLimitedSinceMs(worker) ?? nowMs;
		this.#records.set(worker, {
			worker, perSecond, version, changedAtMs: nowMs, limitedSinceMs,
		});
	}
}

/** Whether a report is later than what is known; of the same version, the lower limit wins. */
function supersedes(report: RateLimit, known: RateLimit): boolean {
	return report.version > known.version
		|| (report.version === known.version && (report.perSecond ?? Number.POSITIVE_INFINITY) < (known.perSecond ?? Number.POSITIVE_INFINITY));
}
