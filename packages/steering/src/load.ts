/** In-flight requests of a peer, by worker hash. */
type PeerLoad = {
	readonly counts: ReadonlyMap<number, number>;
	readonly atMs: number;
};

/** Age from which a peer's counts are ignored, ms. */
const PEER_LOAD_MAX_AGE_MS = 1500;
/** Age from which a worker's report is ignored while no peer is heard, ms; its weight decreases linearly until then. */
const WORKER_REPORT_MAX_AGE_MS = 800;

/** Load reported by a worker, without the requests of this host. */
type WorkerReport = {
	/** In-flight requests of peers at the worker. */
	readonly requestsFromPeers: number;
	readonly atMs: number;
};

/**
 * Tracks the in-flight requests (running or queued) at each worker: those of
 * this host, counted exactly, and those of its peers (the other hosts) as last
 * reported. A worker's own report replaces those of the peers while it is newer
 * than they are on average: short requests begin and end between two reports of
 * the peers. Times are monotonic ms, and workers are identified by the hash of
 * their id.
 */
export class LoadTracker {
	readonly #own = new Map<number, number>();
	readonly #peers = new Map<string, PeerLoad>();
	readonly #reports = new Map<number, WorkerReport>();

	/** Adds a request sent to the worker to the count. */
	begin(worker: number): void {
		this.#own.set(worker, (this.#own.get(worker) ?? 0) + 1);
	}

	/** Removes an ended request from the count. */
	end(worker: number): void {
		const remaining = (this.#own.get(worker) ?? 0) - 1;
		if (remaining > 0) {
			this.#own.set(worker, remaining);
		} else {
			this.#own.delete(worker);
		}
	}

	/** Number of this host's in-flight requests at the worker. */
	getOwnCount(worker: number): number {
		return this.#own.get(worker) ?? 0;
	}

	/** In-flight requests of this host by worker, to be sent to its peers. */
	getOwnCounts(): ReadonlyMap<number, number> {
		return this.#own;
	}

	/** Replaces the counts of a peer. @param atMs time at which they were received. */
	recordPeer(peer: string, counts: ReadonlyMap<number, number>, atMs: number): void {
		this.#peers.set(peer, {counts, atMs});
	}

	/** Discards the counts of a peer. Call it when they are now received from another source, directly or in a sum of several peers, so that they are not counted twice. */
	dropPeer(peer: string): void {
		this.#peers.delete(peer);
	}

	/** Sums the in-flight requests of some peers, by worker. */
	sumPeers(peers: readonly string[], nowMs: number): Map<number, number> {
		const sum = new Map<number, number>();
		for (const peer of peers) {
			const load = this.#peers.get(peer);
			if (load && nowMs - load.atMs < PEER_LOAD_MAX_AGE_MS) {
				for (const [worker, count] of load.counts) {
					sum.set(worker, (sum.get(worker) ?? 0) + count);
				}
			}
		}

		return sum;
	}

	/** Records a worker's own report. @param total in-flight requests of all hosts at the worker. */
	recordReport(worker: number, total: number, nowMs: number): void {
		this.#reports.set(worker, {requestsFromPeers: Math.max(0, total - this.getOwnCount(worker)), atMs: nowMs});
	}

	/** Estimates the in-flight requests of all hosts at a worker. */
	estimateTotal(worker: number, nowMs: number): number {
		let requestsFromPeers = 0;
		let ageSumMs = 0;
		let peerCount = 0;
		for (const {counts, atMs} of this.#peers.values()) {
			const ageMs = nowMs - atMs;
			if (ageMs < PEER_LOAD_MAX_AGE_MS) {
				peerCount++;
				ageSumMs += ageMs;
				requestsFromPeers += counts.get(worker) ?? 0;
			}
		}

		const report = this.#reports.get(worker);
		if (report) {
			const ageMs = nowMs - report.atMs;
			if (peerCount === 0) {
				requestsFromPeers = report.requestsFromPeers * Math.max(0, 1 - (ageMs / WORKER_REPORT_MAX_AGE_MS));
			} else if (ageMs * peerCount < ageSumMs) {
				requestsFromPeers = report.requestsFromPeers;
			}
		}

		return this.getOwnCount(worker) + requestsFromPeers;
	}
}
