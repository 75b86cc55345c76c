import {mixHashes} from '@apricotwood/blocks';
import {toUnit} from '@apricotwood/routing';
import type {ColdLimit} from './cold.js';
import type {Route} from './config.js';
import type {Fleet, Worker} from './fleet.js';
import type {WorkerJudge} from './judge.js';
import type {LoadView} from './load.js';
import type {ServiceTimes} from './times.js';
import type {WarmObjects} from './warmth.js';

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
};

export enum Verdict {
	Send = 'send',
	/** Room is expected in time. */
	Wait = 'wait',
	Reject = 'reject',
}

/** Why a request was placed, or not. */
export enum PlacementReason {
	FreeSlot = 'free-slot',
	/** No slot is free, but the answer is expected in time. */
	ShortQueue = 'short-queue',
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
	readonly isWarm: boolean;
	/** Requests at the worker as this host knows. */
	readonly load: number;
	/** When room is expected, ms from now. */
	readonly roomInMs: number;
};

export type PlacerOptions = {
	/** Region of this host. */
	readonly region: string;
	/** Workers that an object may be sent to while they are usable. @default 2 */
	readonly copies?: number;
	/** Added for a worker in another region, ms. @default 20 */
	readonly farMs?: number;
};

export type PlacerParts = {
	readonly fleet: Fleet;
	readonly load: LoadView;
	readonly warm: WarmObjects;
	readonly times: ServiceTimes;
	readonly judge: WorkerJudge;
	readonly cold: ColdLimit;
	/** Hosts that may send to the same workers, this one included. */
	readonly hosts: () => number;
	/** Requests a second that a cold worker of the service tolerates. */
	readonly warmupPerSecond: (service: string) => number | undefined;
};

const DEFAULT_COPIES = 2;
const DEFAULT_FAR_MS = 20;
/** Requests at a worker, running and waiting, relative to its slots. */
const MAX_QUEUE_FACTOR = 2;
/** Shortest time after which room is said to be expected, ms. */
const MIN_ROOM_MS = 50;
/** Room at a service without usable workers, ms. */
const NO_WORKER_ROOM_MS = 500;

type Estimate = {
	readonly worker: Worker;
	readonly isWarm: boolean;
	readonly load: number;
	readonly waitMs: number;
	readonly workMs: number;
	readonly cost: number;
};

/**
 * Chooses a worker for a request, or to wait, or to reject.
 *
 * Answers work that takes three times as long at a worker that has not handled
 * the object lately, at a load that the workers bear only when most work is
 * warm: an object goes to few workers, the same ones from every host, and the
 * one with the shorter expected time gets it. A third worker would take the
 * overload of two at three times the cost, so full workers make requests wait
 * while they can still be answered in time, and are not passed over.
 */
export class Placer {
	readonly #copies: number;
	readonly #farMs: number;

	constructor(private readonly options: PlacerOptions, private readonly parts: PlacerParts) {
		this.#copies = options.copies ?? DEFAULT_COPIES;
		this.#farMs = options.farMs ?? DEFAULT_FAR_MS;
	}

	/** Decides for now; a verdict to send counts against a cold worker's limit. */
	place(req: PlacementRequest, nowMs: number): Placement {
		const open = this.#openWorkers(req, nowMs);
		const warmed = open.filter(worker => worker.coldUntilMs <= nowMs);
		if (warmed.length === 0) {
			return this.#placeCold(req, open, nowMs);
		}

		let best: Estimate | undefined;
		for (const worker of this.#candidates(req, warmed)) {
			const estimate = this.#estimate(req, worker, nowMs);
			if (!best || estimate.cost < best.cost) {
				best = estimate;
			}
		}

		return this.#judge(req, best!, nowMs);
	}

	#openWorkers({service, route, avoid}: PlacementRequest, nowMs: number): Worker[] {
		const {fleet, judge} = this.parts;
		const {homeRegions} = route;
		return fleet.ofService(service).filter(worker => fleet.isOpen(worker)
			&& !avoid.has(worker.entry.id)
			&& (homeRegions.length === 0 || homeRegions.includes(worker.region))
			&& judge.isTrusted(worker.hash, nowMs));
	}

	/** The first workers by weighted rendezvous hashing; every host finds the same ones. */
	#candidates({object, salt}: PlacementRequest, workers: readonly Worker[]): Worker[] {
		const scored = workers.map(worker => ({
			worker,
			score: -worker.entry.slots / Math.log(toUnit(mixHashes(object ?? salt, worker.hash))),
		}));
		scored.sort((a, b) => b.score - a.score);
		return scored.slice(0, this.#copies).map(({worker}) => worker);
	}

	#estimate({route, service, object}: PlacementRequest, worker: Worker, nowMs: number): Estimate {
		const {load, warm, times, judge} = this.parts;
		const {warmMs, coldMs} = times.expect(route, service);
		const isWarm = !route.hasAffinity || object === undefined || warm.isWarm(worker.hash, object);
		const slowness = times.slowness(worker.hash, nowMs);
		const total = load.total(worker.hash, nowMs);
		const {slots} = worker.entry;
		const waitMs = Math.max(0, total + 1 - slots) * warmMs * slowness / slots;
		const workMs = (isWarm ? warmMs : coldMs) * slowness;
		const far = worker.region === this.options.region ? 0 : this.#farMs;
		// Cold work also takes a slot from others for longer.
		const burden = isWarm ? 0 : coldMs - warmMs;
		const doubt = judge.failing(worker.hash) * coldMs;
		return {worker, isWarm, load: total, waitMs, workMs: workMs + far, cost: waitMs + workMs + far + burden + doubt + (total / slots * warmMs * 0.1)};
	}

	#judge({targetAtMs, endAtMs}: PlacementRequest, best: Estimate, nowMs: number): Placement {
		const {slots} = best.worker.entry;
		const inTime = nowMs + best.waitMs + best.workMs <= targetAtMs;
		const told = {worker: best.worker, isWarm: best.isWarm, load: best.load, roomInMs: Math.max(MIN_ROOM_MS, best.waitMs)};
		if (best.load < slots) {
			return {...told, verdict: Verdict.Send, reason: PlacementReason.FreeSlot};
		}

		if (inTime && best.load < slots * MAX_QUEUE_FACTOR) {
			return {...told, verdict: Verdict.Send, reason: PlacementReason.ShortQueue};
		}

		const latestStartMs = Math.min(targetAtMs, endAtMs) - best.workMs;
		if (nowMs < latestStartMs && inTime) {
			return {...told, worker: undefined, verdict: Verdict.Wait, reason: PlacementReason.Full};
		}

		return {...told, worker: undefined, verdict: Verdict.Reject, reason: nowMs < latestStartMs ? PlacementReason.Full : PlacementReason.Late};
	}

	/** Only cold workers, or none, are left. */
	#placeCold(req: PlacementRequest, open: readonly Worker[], nowMs: number): Placement {
		const none = {worker: undefined, isWarm: false, load: 0, roomInMs: NO_WORKER_ROOM_MS};
		if (open.length === 0) {
			return {...none, verdict: Verdict.Reject, reason: PlacementReason.NoWorker};
		}

		const {cold, hosts, warmupPerSecond} = this.parts;
		const perSecond = warmupPerSecond(req.service);
		for (const worker of this.#candidates({...req, object: req.salt}, open)) {
			const load = this.parts.load.total(worker.hash, nowMs);
			if (load < worker.entry.slots && cold.mayTake(worker, perSecond, hosts(), nowMs)) {
				cold.take(worker, perSecond, hosts(), nowMs);
				return {verdict: Verdict.Send, reason: PlacementReason.ColdTurn, worker, isWarm: false, load, roomInMs: 0};
			}
		}

		return {...none, verdict: Verdict.Reject, reason: PlacementReason.AllCold};
	}
}
