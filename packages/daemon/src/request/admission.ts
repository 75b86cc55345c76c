import {
	Priority, RepeatPolicy, ResourceKind, type AgreementState, type Cap, type Service, type Shift,
} from '@apricotwood/agreement';
import {WaitQueue, WaitResult} from '@apricotwood/admission';
import {readPendingInput, type Clock} from '@apricotwood/clock';
import {
	RateHolding, findBlockedClaim, acquireAll, type ResourceClaim, type Holdings, type AcquiredUnits,
} from '@apricotwood/ledger';
import {
	computeAgeMs, chooseWorker, createWorkerPolicy, type WorkerChoice, type WorkerPolicy, type WorkerView,
} from '@apricotwood/routing';
import type {ShutdownDeadline} from '@apricotwood/steering';
import type {WorkerLink} from '../upstream/worker-link.js';
import type {WorkerRegistry} from '../upstream/worker-registry.js';
import {RejectionCode, rejectRetryable, type Rejection} from './rejection.js';
import type {RequestContext} from './context.js';

/** Worker and resource units reserved for one attempt. */
export type Placement = {
	readonly link: WorkerLink;
	readonly units: AcquiredUnits;
	readonly choice: WorkerChoice;
	/** Ages of the measurements used to choose the worker, ms. */
	readonly figureAges: {readonly latencyMs: number | undefined; readonly loadMs: number | undefined};
};

/** Result of a placement; `blockedBy` is the key of the first resource without free units, `NO_WORKER`, or a rejection code. */
export type PlacementResult = {readonly ok: true; readonly placement: Placement} | {readonly ok: false; readonly blockedBy: string};

/** Minimum free fraction of the units granted for a service's workers before a hedge may start. */
const HEDGE_HEADROOM_FRACTION = 0.3;

/** Value of `blockedBy` if no worker of the service has a free unit on this host. */
export const NO_WORKER = 'worker';

/** Fraction of a region's cap that idempotent requests must leave free if the priority is `headroom`. */
const RESERVED_REGION_FRACTION = 0.2;

/** Properties of a request that determine its resource claims. */
type ClaimInput = Pick<RequestContext, 'member' | 'caps' | 'service' | 'repeat'>;

/** Dependencies and queue bounds of {@link Admission}. */
export type AdmissionOptions = {
	readonly clock: Clock;
	readonly holdings: Holdings;
	readonly workers: WorkerRegistry;
	readonly region: string;
	readonly zone: string;
	readonly shutdownDeadline: ShutdownDeadline;
	/** Maximum number of waiting requests per service. */
	readonly maxQueue: number;
	/** Maximum time in the queue, ms. */
	readonly maxWaitMs: number;
};

/** Admission control: reserves a worker and all resource units for an attempt, or none, with a bounded wait queue per service. */
export class Admission {
	readonly #queues = new Map<string, WaitQueue>();
	#isAdmitting = false;
	readonly #waiting = new Map<RequestContext, AbortController>();
	/** Resource claims by caps and then by repeat policy and shift; the caps array identifies member, service and agreement version. */
	readonly #claimCache = new WeakMap<readonly Cap[], Map<string, readonly ResourceClaim[]>>();
	#policy: WorkerPolicy = createWorkerPolicy(Priority.Latency);

	constructor(private readonly options: AdmissionOptions) {}

	/** Selects the worker policy for the priority of the agreement. */
	apply(state: AgreementState): void {
		this.#policy = createWorkerPolicy(state.agreement.priority);
	}

	/** Returns the resource units that a request needs on this host in addition to a worker's unit; cached for equal requests. */
	getClaims(ctx: ClaimInput, state: AgreementState, shift: Shift | undefined): readonly ResourceClaim[] {
		let byKey = this.#claimCache.get(ctx.caps);
		if (!byKey) {
			byKey = new Map();
			this.#claimCache.set(ctx.caps, byKey);
		}

		const cacheKey = shift === undefined ? ctx.repeat : `${ctx.repeat}/${shift.name}`;
		let claims = byKey.get(cacheKey);
		if (!claims) {
			claims = this.#createClaims(ctx, state, shift);
			byKey.set(cacheKey, claims);
		}

		return claims;
	}

	#createClaims({member, caps, service, repeat}: ClaimInput, state: AgreementState, shift: Shift | undefined): ResourceClaim[] {
		const claims: ResourceClaim[] = [];
		const add = (kind: ResourceKind, name: string, units: number, reservedFraction = 0) => {
			const key = `${kind}/${name}`;
			claims.push({
				key, holding: this.options.holdings.get(key), units, reservedFraction,
			});
		};

		for (const cap of caps) {
			add(ResourceKind.Member, `${member.name}/${cap.service}`, 1);
			if (cap.perSecond !== undefined) {
				add(ResourceKind.Rate, `${member.name}/${cap.service}`, 1);
			}
		}

		if (service.cap !== undefined) {
			add(ResourceKind.Service, service.name, 1);
		}

		const {region} = this.options;
		if (state.regions.get(region)?.cap !== undefined) {
			const leavesReserve = state.agreement.priority === Priority.Headroom && repeat === RepeatPolicy.Idempotent;
			add(ResourceKind.Region, region, 1, leavesReserve ? RESERVED_REGION_FRACTION : 0);
		}

		if (shift) {
			add(ResourceKind.Shift, shift.name, 1);
			const linkName = `${shift.from}>${shift.to}`;
			if (state.links.has(linkName)) {
				add(ResourceKind.Link, linkName, service.linkMbit);
			}
		}

		return claims;
	}

	/** Reserves a worker that is not excluded and all claimed units for one attempt, without waiting. */
	place(ctx: RequestContext, claims: readonly ResourceClaim[], excluded?: ReadonlySet<string>): PlacementResult {
		if (!this.options.shutdownDeadline.allows(ctx)) {
			return {ok: false, blockedBy: RejectionCode.Stopping};
		}

		const service = ctx.service.name;
		const nowMs = this.options.clock.now();
		const choice = chooseWorker(this.#policy, this.#getCandidates(service, excluded), this.options.zone, nowMs);
		const link = choice && this.options.workers.get(choice.name);
		if (!link) {
			return {ok: false, blockedBy: findBlockedClaim(claims)?.key ?? NO_WORKER};
		}

		const workerClaim: ResourceClaim = {
			key: `${ResourceKind.Worker}/${link.worker.name}`, holding: link.holding, units: 1, reservedFraction: 0,
		};
		const result = acquireAll([...claims, workerClaim]);
		if (!result.ok) {
			return {ok: false, blockedBy: result.key};
		}

		const {latency, load} = link.getView();
		const figureAges = {latencyMs: latency && computeAgeMs(latency, nowMs), loadMs: load && computeAgeMs(load, nowMs)};
		return {
			ok: true, placement: {
				link, units: result.acquired, choice, figureAges,
			},
		};
	}

	/** Waits in the service's queue until the request is placed or blocked by a member limit, its deadline or the maximum wait passes, or `signal` is aborted. */
	async waitForPlacement(ctx: RequestContext, claims: readonly ResourceClaim[], signal: AbortSignal): Promise<PlacementResult> {
		const {clock, shutdownDeadline} = this.options;
		if (!shutdownDeadline.allows(ctx)) {
			return {ok: false, blockedBy: RejectionCode.Stopping};
		}

		const late = new AbortController();
		this.#waiting.set(ctx, late);
		let lastResult: PlacementResult = {ok: false, blockedBy: NO_WORKER};
		const queue = this.getQueue(ctx.service.name);
		const remainingMs = ctx.deadlineAtMs - clock.monotonic();
		const result = await queue.wait(remainingMs, () => {
			lastResult = this.place(ctx, claims);
			// A request blocked by its member's limit leaves the queue, so that it does not block the requests behind it.
			return lastResult.ok || isMemberLimit(lastResult.blockedBy);
		}, AbortSignal.any([signal, late.signal]));
		this.#waiting.delete(ctx);
		if (result === WaitResult.Admitted) {
			return lastResult;
		}

		return {ok: false, blockedBy: late.signal.aborted ? RejectionCode.Stopping : NO_WORKER};
	}

	/** Ends the wait of the requests that this host does not start any more. */
	rejectLate(): void {
		for (const [ctx, late] of this.#waiting) {
			if (!this.options.shutdownDeadline.allows(ctx)) {
				late.abort();
			}
		}
	}

	/** Returns the free units minus the waiting requests of a service; negative if there is a backlog. */
	getRoom(service: string): number {
		return this.options.workers.countFreeUnits(service) - this.getQueue(service).length;
	}

	/** Whether enough units are free for a hedge without delaying other requests. */
	hasHeadroom(service: string): boolean {
		let free = 0;
		let granted = 0;
		for (const link of this.options.workers.getByService(service)) {
			free += link.free;
			granted += link.holding.granted;
		}

		return this.getQueue(service).length === 0 && free >= granted * HEDGE_HEADROOM_FRACTION;
	}

	/** Admits waiting requests of all services for which units have become free, after what has arrived is read: a caller may have left meanwhile. */
	admitWaiters(): void {
		if (!this.#isAdmitting) {
			this.#isAdmitting = true;
			void this.#admitAfterRead();
		}
	}

	async #admitAfterRead(): Promise<void> {
		await readPendingInput();
		this.#isAdmitting = false;
		for (const queue of this.#queues.values()) {
			queue.admitWaiters();
		}
	}

	getQueue(service: string): WaitQueue {
		let queue = this.#queues.get(service);
		if (!queue) {
			const {clock, maxQueue, maxWaitMs} = this.options;
			queue = new WaitQueue({clock, maxLength: maxQueue, maxWaitMs});
			this.#queues.set(service, queue);
		}

		return queue;
	}

	/** Creates the rejection of a request that was not placed because of `blockedBy`. */
	createRejection(service: Service, blockedBy: string): Rejection {
		const holding = this.options.holdings.get(blockedBy);
		if (blockedBy.startsWith(`${ResourceKind.Member}/`)) {
			return rejectRetryable(RejectionCode.MemberCap, 'the member has reached its limit of concurrent requests; retry after one has ended');
		}

		if (holding instanceof RateHolding) {
			return rejectRetryable(RejectionCode.MemberRate, 'the member has reached its limit of requests per second', holding.retryAfterMs);
		}

		const waitMs = this.getQueue(service.name).expectedWaitMs;
		return rejectRetryable(RejectionCode.NoRoom, `no capacity is free for ${service.name} (${blockedBy})`, waitMs > 0 ? waitMs : undefined);
	}

	#getCandidates(service: string, excluded: ReadonlySet<string> | undefined): WorkerView[] {
		const views: WorkerView[] = [];
		for (const link of this.options.workers.getByService(service)) {
			if (link.free >= 1 && !excluded?.has(link.worker.name)) {
				views.push(link.getView());
			}
		}

		return views;
	}
}

/** Whether a resource limits a single member; requests blocked by it do not wait, because they would block other members in the queue. */
export function isMemberLimit(key: string): boolean {
	return key.startsWith(`${ResourceKind.Member}/`) || key.startsWith(`${ResourceKind.Rate}/`);
}
