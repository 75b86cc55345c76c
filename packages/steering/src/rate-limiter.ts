import {computeRendezvousScore} from '@apricotwood/routing';
import type {Worker} from './fleet.js';
import type {RateLimitTracker} from './rate-limits.js';

/** A host that sends requests to the workers. */
export type SendingHost = {
	/** Hash of the host's id. */
	readonly hash: number;
	readonly region: string;
};

/** The hosts among which rate limits are divided. */
export type SendingHosts = {
	/** Hosts that serve callers now, including this one if it does. */
	readonly ready: readonly SendingHost[];
	/** Number of ready hosts and of those that were ready shortly before they fell silent. */
	readonly recentCount: number;
};

/** This host's part of a worker's rate limit. */
type Share = {
	/** Time between two requests of this host, ms. */
	readonly intervalMs: number;
	/** Delay of the first request after the worker named a limit, ms; differs between the hosts that have a share. */
	readonly firstDelayMs: number;
};

type CachedShare = {
	/** `undefined` if this host has no share. */
	readonly share: Share | undefined;
	/** Limit of the worker from which it was computed, requests per second. */
	readonly perSecond: number;
};

const MS_PER_SECOND = 1000;
/** Weight of a host in the worker's region, relative to 1 for other regions. */
const LOCAL_REGION_WEIGHT = 4;
/** Lowest rate of a host that has a share, requests per second. Lower limits are shared by fewer hosts. */
const MIN_SHARE_PER_SECOND = 1;
/** Longest time between two requests of a host that has a share, ms. A worker with a limit near 0 is still asked from time to time, as only its responses show that the limit has changed. */
const MAX_INTERVAL_MS = 4000;
/** Time after the previous request at which a host that has a share should send one even if another worker is faster, ms: only responses show that a limit has changed. */
const CHECK_INTERVAL_MS = 2000;
/** Time by which a host may catch up on requests that it has not sent, ms. */
const BURST_MS = 250;
/** Time for which the hosts, and the shares computed from them, are used, ms. */
const HOSTS_LIFETIME_MS = 200;

/**
 * Keeps the requests of all hosts to a worker within the rate limit that it names,
 * without coordination. The limit is divided evenly among some of the ready hosts,
 * so many that each has a useful rate; rendezvous hashing with a preference for
 * the worker's region selects them. A host without a share sends nothing to the
 * worker. Hosts whose views of the ready hosts differ may select one host more or
 * less for a moment, which changes the sum by that host's share. Hosts that fell
 * silent may be behind a partition and send as well, so their part of the limit is
 * left to them for a while.
 *
 * Each host spaces its requests evenly (generic cell rate algorithm). Times are
 * monotonic ms.
 */
export class WorkerRateLimiter {
	readonly #nextSendAtMs = new Map<number, number>();
	readonly #shares = new Map<number, CachedShare>();
	#hosts: SendingHosts = {ready: [], recentCount: 0};
	#hostsUntilMs = Number.NEGATIVE_INFINITY;

	/**
	 * @param selfHash hash of this host's id.
	 * @param limits limits that the workers name; the limiter only reads them.
	 * @param findHosts returns the hosts that may send now; called several times a second while a worker names a limit.
	 */
	constructor(private readonly selfHash: number, private readonly limits: RateLimitTracker, private readonly findHosts: (nowMs: number) => SendingHosts) {}

	/** Earliest time at which this host may send a request to the worker; call `recordSend` when it does. `-Infinity` if the worker names no limit, `Infinity` if this host has no share of it. */
	getNextSendMs(worker: Worker, nowMs: number): number {
		const limitedSinceMs = this.limits.getLimitedSinceMs(worker.hash);
		if (limitedSinceMs === undefined) {
			return Number.NEGATIVE_INFINITY;
		}

		const share = this.#getShare(worker, nowMs);
		return share ? Math.max(limitedSinceMs + share.firstDelayMs, this.#nextSendAtMs.get(worker.hash) ?? 0) : Number.POSITIVE_INFINITY;
	}

	/** Whether this host has sent a worker with a limit nothing for so long, though it may, that it should ask whether the limit still applies. */
	isCheckDue(worker: Worker, nowMs: number): boolean {
		const share = this.#getShare(worker, nowMs);
		if (!share) {
			return false;
		}

		const nextSendMs = this.getNextSendMs(worker, nowMs);
		return nowMs >= nextSendMs && nowMs - (nextSendMs - share.intervalMs) >= CHECK_INTERVAL_MS;
	}

	/** Rate at which this host may send to the worker, requests per second; 0 if it has no share of its limit, `Infinity` if the worker names none. */
	getRate(worker: Worker, nowMs: number): number {
		if (this.limits.get(worker.hash) === undefined) {
			return Number.POSITIVE_INFINITY;
		}

		const share = this.#getShare(worker, nowMs);
		return share ? MS_PER_SECOND / share.intervalMs : 0;
	}

	/** Records a request to the worker, which starts the next interval. */
	recordSend(worker: Worker, nowMs: number): void {
		const share = this.#getShare(worker, nowMs);
		if (share) {
			const previousMs = this.#nextSendAtMs.get(worker.hash) ?? 0;
			this.#nextSendAtMs.set(worker.hash, Math.max(previousMs, nowMs - BURST_MS) + share.intervalMs);
		}
	}

	/** Discards the state of a worker, after a restart. */
	reset(worker: number): void {
		this.#nextSendAtMs.delete(worker);
		this.#shares.delete(worker);
	}

	#getShare(worker: Worker, nowMs: number): Share | undefined {
		const perSecond = this.limits.get(worker.hash);
		if (perSecond === undefined) {
			return undefined;
		}

		this.#refreshHosts(nowMs);
		const cached = this.#shares.get(worker.hash);
		if (cached?.perSecond === perSecond) {
			return cached.share;
		}

		const share = this.#computeShare(worker, perSecond);
		this.#shares.set(worker.hash, {share, perSecond});
		return share;
	}

	#refreshHosts(nowMs: number): void {
		if (nowMs >= this.#hostsUntilMs) {
			this.#hosts = this.findHosts(nowMs);
			this.#hostsUntilMs = nowMs + HOSTS_LIFETIME_MS;
			this.#shares.clear();
		}
	}

	#computeShare(worker: Worker, limitPerSecond: number): Share | undefined {
		const {ready, recentCount} = this.#hosts;
		const perSecond = limitPerSecond * ready.length / Math.max(1, ready.length, recentCount);
		const ranked = ready.map(({hash, region}) => ({
			hash, score: computeRendezvousScore(worker.hash, hash, region === worker.region ? LOCAL_REGION_WEIGHT : 1),
		})).toSorted((a, b) => b.score - a.score);
		const holders = ranked.slice(0, Math.max(1, Math.floor(perSecond / MIN_SHARE_PER_SECOND)));
		const rank = holders.findIndex(({hash}) => hash === this.selfHash);
		if (rank === -1) {
			return undefined;
		}

		const intervalMs = Math.min(MAX_INTERVAL_MS, holders.length * MS_PER_SECOND / perSecond);
		return {intervalMs, firstDelayMs: intervalMs * (rank + 1) / holders.length};
	}
}
