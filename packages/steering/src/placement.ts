import type {Route} from './config.js';
import type {Worker} from './fleet.js';
import type {CacheState} from './object-cache.js';

/** A request that needs a worker. */
export type PlacementRequest = {
	readonly route: Route;
	readonly service: string;
	/** Hash of the requested object; `undefined` when the request has none. */
	readonly objectHash: number | undefined;
	/** Random 32-bit value that is used in place of `objectHash` to rank the workers when the request has no object. */
	readonly randomKey: number;
	/** Ids of workers that have already failed the request. */
	readonly excludedIds: ReadonlySet<string>;
	/** Target for the response, monotonic ms; a later response is worth less to the caller. */
	readonly targetAtMs: number;
	/** Deadline of the response, monotonic ms. */
	readonly deadlineAtMs: number;
	/** Whether the caller has been rejected before and retries. */
	readonly isCallerRetry: boolean;
	/** Latest time until which the request may wait for a worker, monotonic ms. */
	readonly waitUntilMs: number;
	/** Number of requests for the service that wait and are placed before this one; 0 for one that waits itself. */
	readonly waitingBefore: number;
};

/** What to do with a request. */
export enum PlacementAction {
	/** Send it to the chosen worker. */
	Send = 'send',
	/** Place it again later: it may still wait, and could be answered in time if it were started now. */
	Wait = 'wait',
	/** It has waited too long or could not be answered in time, or no worker can take it. */
	Reject = 'reject',
}

/** Reason for a placement; the values are logged. */
export enum PlacementReason {
	/** The object is cached at the worker or the request has no object, and the response is expected before the target. */
	Cached = 'warm',
	/** The object is not cached at any candidate worker. */
	FirstCopy = 'first-copy',
	/** The object is cached elsewhere, but this host tracks only a few objects for the first-ranked worker, which is therefore considered new. */
	NewWorker = 'join',
	/** The cheapest worker at which the object is cached has reached the load limit for this request or would miss the deadline. */
	NewCopy = 'new-copy',
	/** The response is expected after the target, but the caller has been rejected before and is not expected to retry again. */
	CallerRetry = 'return',
	/** The response is expected after the target but before the deadline, and a slot is free. */
	FreeSlot = 'free-slot',
	/** The first-ranked worker names a rate limit and has not been asked for a while, so it is not known whether the limit still applies. */
	RateLimitCheck = 'limit-check',
	/** All eligible workers are warming up, and the rate limit admits a request to this one. */
	WarmupQuota = 'cold-turn',
	/** No worker is eligible: in service, in an allowed region, healthy and not excluded. */
	NoWorker = 'no-worker',
	/** All eligible workers are warming up, and none of the top-ranked ones may get a request now. */
	AllWarmingUp = 'all-cold',
	/** No top-ranked worker can take the request within its load limit and deadline; the request waits. */
	Full = 'full',
	/** The request has waited too long, or could not be answered in time. */
	Late = 'late',
	/** All eligible workers name a rate limit or have told this host to wait, and the first one that it may use again names a limit. */
	RateLimited = 'rate-limited',
	/** The same, but the first one has told this host to wait. */
	Backoff = 'backoff',
	/** This host stops, and may end before the response. */
	Stopping = 'stopping',
}

/** Result of a placement. */
export type Placement = {
	readonly action: PlacementAction;
	readonly reason: PlacementReason;
	/** The chosen worker; set if the action is `Send`. */
	readonly worker: Worker | undefined;
	/** Expected state of the object in the evaluated worker's cache; `Cached` also if the request has no object, `NotCached` if no eligible worker is warmed up. */
	readonly cacheState: CacheState;
	/** Number of other objects sent to the worker since this one; `undefined` when the object is not tracked, the request has none or no worker was evaluated. */
	readonly reuseDistance: number | undefined;
	/** Estimated in-flight requests of all hosts at the evaluated worker. */
	readonly load: number;
	/** Expected queueing time at the evaluated worker, ms. */
	readonly waitMs: number;
	/** Expected service time at the evaluated worker plus the network round trip, without the queueing time, ms; 0 if all eligible workers are warming up or there is none. */
	readonly serviceAndNetworkMs: number;
	/** Time after which a rejected caller may find a worker available, ms; 0 if the request is sent or this host stops, or a constant if no eligible worker is warmed up. */
	readonly availableInMs: number;
};
