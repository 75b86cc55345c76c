import {mixHashes} from '@apricotwood/blocks';
import {toUnit} from '@apricotwood/routing';
import type {ColdLimit} from './cold.js';
import {RequestKind, type Route} from './config.js';
import type {Distances} from './distances.js';
import type {Fleet, Worker} from './fleet.js';
import type {WorkerJudge} from './judge.js';
import type {LoadView} from './load.js';
import type {ServiceTimes} from './times.js';
import {Warmth, type WarmObjects} from './warmth.js';

/** A request that looks for a worker. */
export type PlacementRequest = {
	readonly route: Route;
	readonly service: string;
	/** Hash of the request's object; `undefined` when it names none. */
	readonly object: number | undefined;
	/** Point of the request's own, 0 to 2^32 - 1, where it names no object. */
	readonly salt: number;
	/** Ids of workers that have failed the request before. */
	readonly avoid: ReadonlySet<string>;
	/** Monotonic ms at which the answer loses most of its value. */
	readonly targetAtMs: number;
	/** Monotonic ms at which the request must be answered. */
	readonly endAtMs: number;
	/** Whether the caller has been rejected before. */
	readonly isReturning: boolean;
	/** Monotonic ms until which the request may wait for room. */
	readonly waitUntilMs: number;
};

export enum Verdict {
	Send = 'send',
	/** Room is expected in time. */
	Wait = 'wait',
	Reject = 'reject',
}

/** Why a request was placed, or not. */
export enum PlacementReason {
	/** At a worker where the object is warm, in time. */
	Warm = 'warm',
	/** No worker knows the object yet. */
	FirstCopy = 'first-copy',
	/** The worker has joined and learns its first objects. */
	Join = 'join',
	/** The workers that know the object are full. */
	NewCopy = 'new-copy',
	/** Late, but the caller comes back and does not come again. */
	Return = 'return',
	/** Late, but a slot is free. */
	FreeSlot = 'free-slot',
	ColdTurn = 'cold-turn',
	NoWorker = 'no-worker',
	AllCold = 'all-cold',
	Full = 'full',
	Late = 'late',
}

export type Placement = {
	readonly verdict: Verdict;
	readonly reason: PlacementReason;
	/** Set when the verdict is to send. */
	readonly worker: Worker | undefined;
	readonly warmth: Warmth;
	/** Objects that the worker has handled since this one, before the request; `undefined` when it is not known there. */
	readonly distance: number | undefined;
	/** Requests at the worker that was looked at last, as this host knows. */
	readonly load: number;
	/** Its expected wait, ms. */
	readonly waitMs: number;
	/** Its expected work and the way there and back, ms. */
	readonly workMs: number;
	/** When room is expected, ms from now. */
	readonly roomInMs: number;
};

export type PlacerOptions = {
	/** Region of this host. */
	readonly region: string;
	/** Most workers that an object is sent to while they are usable. @default 4 */
	readonly copies?: number;
	/** How much more likely an object's workers lie in this region than elsewhere. @default 4 */
	readonly nearness?: number;
	/** The same for uploads, whose bytes are many. @default 24 */
	readonly uploadNearness?: number;
};

export type PlacerParts = {
	readonly fleet: Fleet;
	readonly load: LoadView;
	readonly warm: WarmObjects;
	readonly times: ServiceTimes;
	readonly judge: WorkerJudge;
	readonly cold: ColdLimit;
	readonly distances: Distances;
	/** Hosts that may send to the same workers, this one included. */
	readonly hosts: () => number;
	/** Requests a second that a cold worker of the service tolerates. */
	readonly warmupPerSecond: (service: string) => number | undefined;
};

const DEFAULT_COPIES = 4;
const DEFAULT_NEARNESS = 4;
const DEFAULT_UPLOAD_NEARNESS = 24;
/** Requests at a worker, running and waiting, relative to its slots, up to which another one joins that is answered in time. */
const MAX_QUEUE_FACTOR = 2;
/** The same for a caller that comes back too late for its target: it gives way to those that are in time, but not wholly. */
const RETURN_QUEUE_FACTOR = 1.25;
/** A worker gets a new object only while its load is below this part of its slots. */
const NEW_COPY_LOAD = 0.75;
/** Work at a new worker takes longer, which an overload does not bear: above this part of all slots no worker gets a new object. */
const NEW_COPY_SERVICE_LOAD = 0.85;
/** Objects that a worker learns at once when it has joined. */
const JOIN_OBJECTS = 4;
/** Shortest time after which room is said to be expected, ms. */
const MIN_ROOM_MS = 50;
/** Room at a service without usable workers, ms. */
const NO_WORKER_ROOM_MS = 500;

type Estimate = {
	readonly worker: Worker;
	readonly warmth: Warmth;
	readonly distance: number | undefined;
	readonly isWarm: boolean;
	readonly load: number;
	readonly waitMs: number;
	readonly workMs: number;
	/** Whether the answer is expected before the target, */
	readonly isInTime: boolean;
	/** Whether it is expected before the end at least. */
	readonly isUseful: boolean;
	/** Expected time with what a failing worker adds to it, ms. */
	readonly cost: number;
};

/**
 * Chooses a worker for a request, or to wait, or to reject.
 *
 * Answers work that takes three times as long at a worker that has not handled
 * the object lately, at a load that the workers bear only when most work is
 * warm. Every host ranks the workers of an object alike. The object goes to the
 * first one until that is full, then the next one learns it: the copies follow
 * the demand, and where no worker has time for a new object the request waits
 * or is rejected instead of making the overload worse.
 */
export class Placer {
	readonly #copies: number;

	constructor(private readonly options: PlacerOptions, private readonly parts: PlacerParts) {
		this.#copies = options.copies ?? DEFAULT_COPIES;
	}

	/** Decides for now; a verdict to send counts against a cold worker's limit. */
	place(req: PlacementRequest, nowMs: number): Placement {
		const open = this.#openWorkers(req, nowMs);
		const warmed = open.filter(worker => worker.coldUntilMs <= nowMs);
		if (warmed.length === 0) {
			return this.#placeCold(req, open, nowMs);
		}

		const estimates = this.#rank(req, warmed).map(worker => this.#estimate(req, worker, nowMs));
		const warm = cheapest(estimates.filter(({isWarm}) => isWarm));
		const [first] = estimates;
		if (warm && first && this.#mayJoin(first)) {
			return send(first, PlacementReason.Join);
		}

		if (warm?.isInTime && hasRoom(warm, MAX_QUEUE_FACTOR)) {
			return send(warm, PlacementReason.Warm);
		}

		if (warm?.isUseful && hasRoom(warm, req.isReturning ? RETURN_QUEUE_FACTOR : 1)) {
			return send(warm, req.isReturning ? PlacementReason.Return : PlacementReason.FreeSlot);
		}

		const fresh = this.#findFresh(estimates, warm, warmed, nowMs);
		if (fresh) {
			return send(fresh, warm ? PlacementReason.NewCopy : PlacementReason.FirstCopy);
		}

		const best = warm ?? cheapest(estimates)!;
		return best.isUseful && hasRoom(best, 1) ? send(best, PlacementReason.FreeSlot) : waitOrReject(best, req, nowMs);
	}

	#openWorkers({service, route, avoid}: PlacementRequest, nowMs: number): Worker[] {
		const {fleet, judge} = this.parts;
		const {homeRegions} = route;
		return fleet.ofService(service).filter(worker => fleet.isOpen(worker)
			&& !avoid.has(worker.entry.id)
			&& (homeRegions.length === 0 || homeRegions.includes(worker.region))
			&& judge.isTrusted(worker.hash, nowMs));
	}

	/** The first workers by weighted rendezvous hashing; all hosts of a region find the same ones. */
	#rank({object, salt, service, route}: PlacementRequest, workers: readonly Worker[]): Worker[] {
		const nearness = this.#nearness(service, route.kind);
		const scored = workers.map(worker => {
			const weight = worker.entry.slots * (worker.region === this.options.region ? nearness : 1);
			return {worker, score: -weight / Math.log(toUnit(mixHashes(object ?? salt, worker.hash)))};
		});
		scored.sort((a, b) => b.score - a.score);
		return scored.slice(0, this.#copies).map(({worker}) => worker);
	}

	/** Weight of a worker of this region against one elsewhere; less where the region has less than its part of the slots. */
	#nearness(service: string, kind: RequestKind): number {
		const whole = kind === RequestKind.Upload ? this.options.uploadNearness ?? DEFAULT_UPLOAD_NEARNESS : this.options.nearness ?? DEFAULT_NEARNESS;
		let slots = 0;
		let nearSlots = 0;
		const regions = new Set<string>();
		for (const {entry, region} of this.parts.fleet.ofService(service)) {
			slots += entry.slots;
			nearSlots += region === this.options.region ? entry.slots : 0;
			regions.add(region);
		}

		return Math.max(1, whole * Math.min(1, nearSlots * regions.size / Math.max(1, slots)));
	}

	/**
	 * Whether a worker that knows next to nothing gets an object of which it is
	 * the first in rank. Without this a worker that joins would get nothing until
	 * the others are full, and be cold just then.
	 */
	#mayJoin(first: Estimate): boolean {
		return !first.isWarm && first.isUseful && hasRoom(first, NEW_COPY_LOAD) && this.parts.warm.known(first.worker.hash) < JOIN_OBJECTS;
	}

	/** The first worker in rank that may learn the object. */
	#findFresh(estimates: readonly Estimate[], warm: Estimate | undefined, workers: readonly Worker[], nowMs: number): Estimate | undefined {
		const cold = estimates.filter(({isWarm, isUseful}) => !isWarm && isUseful);
		if (!warm) {
			return cold.find(estimate => hasRoom(estimate, 1));
		}

		const fresh = cold.find(estimate => hasRoom(estimate, NEW_COPY_LOAD));
		return fresh && this.#serviceLoad(workers, nowMs) < NEW_COPY_SERVICE_LOAD ? fresh : undefined;
	}

	#serviceLoad(workers: readonly Worker[], nowMs: number): number {
		let load = 0;
		let slots = 0;
		for (const {hash, entry} of workers) {
			load += Math.min(entry.slots, this.parts.load.total(hash, nowMs));
			slots += entry.slots;
		}

		return load / Math.max(1, slots);
	}

	#estimate({route, service, object, targetAtMs, endAtMs}: PlacementRequest, worker: Worker, nowMs: number): Estimate {
		const {load, warm, times, judge, distances} = this.parts;
		const {warmMs, coldMs} = times.expect(route, service);
		const distance = object === undefined ? undefined : warm.distance(worker.hash, object);
		const warmth = object === undefined ? Warmth.Sure : warm.judge(service, distance);
		const isWarm = warmth !== Warmth.Cold;
		const slowness = times.slowness(worker.hash, nowMs);
		const total = load.total(worker.hash, nowMs);
		const waitMs = Math.max(0, total + 1 - worker.entry.slots) * warmMs * slowness / worker.entry.slots;
		const workMs = ((isWarm ? warmMs : coldMs) * slowness) + distances.to(worker.region);
		const doubtMs = judge.failing(worker.hash) * coldMs;
		return {
			worker, warmth, distance, isWarm, load: total, waitMs, workMs, isInTime: nowMs + waitMs + workMs <= targetAtMs, isUseful: nowMs + waitMs + workMs <= endAtMs, cost: waitMs + workMs + doubtMs,
		};
	}

	/** Only cold workers, or none, are left. */
	#placeCold(req: PlacementRequest, open: readonly Worker[], nowMs: number): Placement {
		const none = {
			worker: undefined, warmth: Warmth.Cold, distance: undefined, load: 0, waitMs: 0, workMs: 0, roomInMs: NO_WORKER_ROOM_MS,
		};
		if (open.length === 0) {
			return {...none, verdict: Verdict.Reject, reason: PlacementReason.NoWorker};
		}

		const {cold, hosts, warmupPerSecond} = this.parts;
		const perSecond = warmupPerSecond(req.service);
		for (const worker of this.#rank(req, open)) {
			const load = this.parts.load.total(worker.hash, nowMs);
			if (load < worker.entry.slots && cold.mayTake(worker, perSecond, hosts(), nowMs)) {
				cold.take(worker, perSecond, hosts(), nowMs);
				return {
					...none, verdict: Verdict.Send, reason: PlacementReason.ColdTurn, worker, load,
				};
			}
		}

		return {...none, verdict: Verdict.Reject, reason: PlacementReason.AllCold};
	}
}

function cheapest(estimates: readonly Estimate[]): Estimate | undefined {
	let best: Estimate | undefined;
	for (const estimate of estimates) {
		if (!best || estimate.cost < best.cost) {
			best = estimate;
		}
	}

	return best;
}

function hasRoom({load, worker}: Estimate, factor: number): boolean {
	return load < worker.entry.slots * factor;
}

function send({worker, warmth, distance, load, waitMs, workMs}: Estimate, reason: PlacementReason): Placement {
	return {
		verdict: Verdict.Send, reason, worker, warmth, distance, load, waitMs, workMs, roomInMs: 0,
	};
}

function waitOrReject(best: Estimate, {targetAtMs, endAtMs, isReturning, waitUntilMs}: PlacementRequest, nowMs: number): Placement {
	const {warmth, distance, load, waitMs, workMs} = best;
	const lastMs = isReturning ? endAtMs : Math.min(targetAtMs, endAtMs);
	const isLate = nowMs > waitUntilMs || nowMs + workMs > lastMs;
	return {
		verdict: isLate ? Verdict.Reject : Verdict.Wait,
		reason: isLate ? PlacementReason.Late : PlacementReason.Full,
		worker: undefined,
		warmth,
		distance,
		load,
		waitMs,
		workMs,
		roomInMs: Math.max(MIN_ROOM_MS, waitMs),
	};
}
