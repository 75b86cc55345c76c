import type {Clock, Random} from '@apricotwood/clock';
import {hashText} from '@apricotwood/routing';
import {
	BackoffTracker, DrainTracker, WarmupLimiter, RoundTripTimes, Fleet, LoadTracker, Placer, RateLimitTracker, RequestKind, ServiceTimeEstimator, ShutdownDeadline, PlacementAction, ObjectCacheModel, WorkerAvailability, WorkerHealthTracker, WorkerRateLimiter, WorkerState,
	hashObject, computeWaitUntilMs, type Placement, type WorkerRankingOptions, type Route,
} from '@apricotwood/steering';
import type {LoadPattern} from './pattern.js';
import type {SimulatedWorker} from './worker.js';

/** Outcome of a caller's request to a host. */
export enum RequestEnd {
	Answered = 'answered',
	Rejected = 'rejected',
}

/** Result of a caller's request to a host. */
export type RequestResult = {
	readonly end: RequestEnd;
	/** Whether the worker had the object in memory. */
	readonly wasWarm: boolean;
	/** After a rejection, time until capacity is expected, ms; otherwise 0. */
	readonly availableInMs: number;
	/** Time that the request waited at the host for a placement, ms. */
	readonly waitedMs: number;
};

/** One request of a caller to a host; a retry of the same call is a separate request. */
export type CallerRequest = {
	readonly route: Route;
	/** Mean work times at a worker. */
	readonly times: {readonly warmMs: number; readonly coldMs: number};
	readonly service: string;
	readonly object: string;
	/** Monotonic ms by which the call should be answered. */
	readonly targetAtMs: number;
	/** Monotonic ms at which the call times out. */
	readonly endAtMs: number;
	/** Whether a host has rejected the call before. */
	readonly isRetry: boolean;
};

/** Interval at which a waiting request is placed again, ms. */
const PLACEMENT_RETRY_MS = 25;

/** Simulates the entry host of one availability zone; placement is decided by the product's own `Placer`. */
export class SimulatedHost {
	/** Running requests of each worker, as known to this host. */
	readonly load = new LoadTracker();
	/** Objects that each worker is expected to remember. */
	readonly warm = new ObjectCacheModel();
	/** Placements since the last exchange with other hosts, as alternating worker and object hashes. */
	sentSinceExchange: number[] = [];
	readonly #times = new ServiceTimeEstimator();
	readonly #distances = new RoundTripTimes();
	readonly #placer: Placer;

	constructor(
		readonly zone: string,
		pattern: LoadPattern,
		policy: Omit<WorkerRankingOptions, 'region'>,
		private readonly workers: ReadonlyMap<string, SimulatedWorker>,
		private readonly clock: Clock,
		private readonly random: Random,
	) {
		const regions = new Map(Object.entries(pattern.regions));
		const fleet = new Fleet(regions);
		for (const {name, workers: entries} of pattern.services) {
			for (const {id, zone: workerZone, slots} of entries) {
				fleet.put({
					id, service: name, address: id, zone: workerZone, slots, state: WorkerState.Ready, coldMs: 0, bornMs: 1, sequence: 0,
				}, clock.monotonic());
			}
		}

		const region = regions.get(zone)!;
		for (const otherRegion of new Set(regions.values())) {
			this.#distances.record(otherRegion, otherRegion === region ? 0 : pattern.roundTripMs);
		}

		const health = new WorkerHealthTracker();
		const rateLimiter = new WorkerRateLimiter(hashText(zone), new RateLimitTracker(), () => ({ready: [], recentCount: 0}));
		this.#placer = new Placer({region, ...policy}, {
			fleet,
			load: this.load,
			objectCaches: this.warm,
			serviceTimes: this.#times,
			health,
			availability: new WorkerAvailability({
				fleet, drains: new DrainTracker(), backoffs: new BackoffTracker(hashText(zone)), health, rateLimiter,
			}),
			warmupLimiter: new WarmupLimiter(hashText(zone)),
			rateLimiter,
			shutdownDeadline: new ShutdownDeadline({marginMs: 0}),
			roundTrips: this.#distances,
			countHosts: () => 1,
			warmupPerSecond: () => undefined,
		});
	}

	/** Places a request at a worker; calls back once, when it is answered or rejected. */
	serve(req: CallerRequest, onEnd: (result: RequestResult) => void): void {
		this.#place(req, this.clock.monotonic(), onEnd);
	}

	#place(req: CallerRequest, startMs: number, onEnd: (result: RequestResult) => void): void {
		const nowMs = this.clock.monotonic();
		const {route, service, object, targetAtMs, endAtMs, isRetry} = req;
		const placement = this.#placer.place({
			route,
			service,
			objectHash: hashObject(route, service, object),
			randomKey: Math.floor(this.random.next() * (2 ** 32)),
			excludedIds: new Set(),
			targetAtMs,
			deadlineAtMs: endAtMs,
			isCallerRetry: isRetry,
			waitUntilMs: computeWaitUntilMs(startMs, endAtMs),
			waitingBefore: 0,
		}, nowMs);
		const waitedMs = nowMs - startMs;
		if (placement.action === PlacementAction.Wait) {
			this.clock.after(PLACEMENT_RETRY_MS, () => {
				this.#place(req, startMs, onEnd);
			});
		} else if (placement.worker) {
			this.#send(req, placement, wasWarm => {
				onEnd({end: RequestEnd.Answered, wasWarm, availableInMs: 0, waitedMs});
			});
		} else {
			onEnd({end: RequestEnd.Rejected, wasWarm: false, availableInMs: placement.availableInMs, waitedMs});
		}
	}

	#send({route, times, service, object}: CallerRequest, {worker, cacheState: warmth, reuseDistance: distance, waitMs}: Placement, onDone: (wasWarm: boolean) => void): void {
		const {registration: entry, hash, region} = worker!;
		const objectHash = hashObject(route, service, object);
		const tripMs = this.#distances.get(region);
		const sentMs = this.clock.monotonic();
		this.load.begin(hash);
		this.warm.record(hash, objectHash);
		this.sentSinceExchange.push(hash, objectHash);
		this.clock.after(tripMs / 2, () => {
			this.workers.get(entry.id)!.submit({
				object, ...times, onDone: wasWarm => {
					this.clock.after(tripMs / 2, () => {
						const nowMs = this.clock.monotonic();
						this.load.end(hash);
						const observedWarm = this.#times.record(route, service, hash, warmth, Math.max(1, nowMs - sentMs - tripMs), waitMs, nowMs);
						if (observedWarm !== undefined) {
							this.warm.learnCapacity(service, distance, observedWarm);
						}

						onDone(wasWarm);
					});
				},
			});
		});
	}
}

/** Converts a route of a load pattern to a route of the product. */
export function toRoute({name, service, targetMs, timeoutMs, priority}: LoadPattern['routes'][number]): Route {
	return {
		name, host: '', prefix: '/', kind: RequestKind.Idempotent, timeoutMs, targetMs, priority, maxAttempts: 1, hasAffinity: true, homeRegions: [], shares: [{service, weight: 1}],
	};
}
