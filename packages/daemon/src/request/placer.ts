import {Buffer} from 'node:buffer';
import type {LongBody} from '@apricotwood/admission';
import type {Shift} from '@apricotwood/agreement';
import type {Clock} from '@apricotwood/clock';
import type {ResourceClaim} from '@apricotwood/ledger';
import {Outcome, RequestState, type IdempotencyStore} from '@apricotwood/once';
import type {ShutdownDeadline} from '@apricotwood/steering';
import type {Log, Metrics} from '@apricotwood/telemetry';
import type {Fence} from '../control/fence.js';
import type {ForwardResult, Forwarder, PeerAddress} from '../peer/forward.js';
import {NO_WORKER, isMemberLimit, type Admission, type PlacementResult, type Placement} from './admission.js';
import type {Cancellation} from './cancellation.js';
import {
	RejectionCode, rejectNotRun, rejectRetryable, rejectStopping, type Rejection,
} from './rejection.js';
import type {RequestContext} from './context.js';
import {Delivery, type DeliveryResult, type ExtraAttemptKind} from './delivery.js';
import type {DeduplicationGate, DeduplicatedRun} from './deduplication.js';
import type {AttemptPolicies} from './attempt-policies.js';
import type {PeerSelector} from './peers.js';
import type {Replier} from './replier.js';
import type {StallDetector} from './stall-detector.js';

/** Dependencies of {@link Placer}. */
export type PlacerDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly fence: Fence;
	readonly gate: DeduplicationGate;
	readonly memory: IdempotencyStore;
	readonly admission: Admission;
	readonly pacings: AttemptPolicies;
	readonly forwarder: Forwarder;
	readonly peers: PeerSelector;
	readonly stalls: StallDetector;
	readonly replier: Replier;
	readonly shutdownDeadline: ShutdownDeadline;
	readonly hostId: string;
	readonly region: string;
	/** Maximum size of a buffered request body and of a stored response, bytes. */
	readonly maxBufferedBytes: number;
	/** Deletes the claim of a request that did not run; best effort. */
	readonly deleteClaim: (key: string) => void;
};

/** Places a request on a worker of this host or forwards it to a peer, and handles its result. */
export class Placer {
	constructor(private readonly deps: PlacerDeps) {}

	/** Returns the units that a request needs on this host; `undefined` if the agreement does not allow serving the caller in this region. */
	getClaims(ctx: RequestContext): readonly ResourceClaim[] | undefined {
		const {region} = this.deps;
		const {home, state} = ctx;
		let shift: Shift | undefined;
		if (home !== undefined && home !== region) {
			shift = state.shiftsFrom(home, ctx.service.name).find(candidate => candidate.to === region);
			if (!shift) {
				return undefined;
			}
		}

		return this.deps.admission.getClaims(ctx, state, shift);
	}

	/** Runs a request on a local worker, forwards it, queues it, or rejects it; resolves when it has finished. */
	async place(
		ctx: RequestContext,
		claims: readonly ResourceClaim[] | undefined,
		body: Buffer | LongBody | undefined,
		cancellation: Cancellation,
		run: DeduplicatedRun | undefined,
	): Promise<void> {
		if (!this.deps.shutdownDeadline.allows(ctx)) {
			this.#rejectRun(ctx, rejectStopping(), run);
			return;
		}

		const placed = claims === undefined ? undefined : this.#tryPlace(ctx, claims);
		if (placed?.ok && claims) {
			await this.#deliver(ctx, claims, placed.placement, body, cancellation, run);
			return;
		}

		const blockedBy = placed && !placed.ok ? placed.blockedBy : RejectionCode.NoShift;
		// A request id that this incarnation must run itself is not forwarded.
		const isPinned = run !== undefined;
		if (!ctx.isForwarded && !isPinned && await this.#forwardToPeer(ctx, body, blockedBy, cancellation)) {
			return;
		}

		if (!claims) {
			this.#rejectRun(ctx, rejectRetryable(RejectionCode.NoShift, `no shift allows callers of ${ctx.home ?? ''} to be served in ${this.deps.region}`), run);
			return;
		}

		await this.#waitAndDeliver(ctx, claims, blockedBy, body, cancellation, run);
	}

	#tryPlace(ctx: RequestContext, claims: readonly ResourceClaim[]): PlacementResult {
		const {admission, fence} = this.deps;
		if (!fence.mayStart()) {
			return {ok: false, blockedBy: RejectionCode.Isolated};
		}

		// Waiting requests have precedence.
		const isQueued = admission.getQueue(ctx.service.name).length > 0;
		return isQueued ? {ok: false, blockedBy: NO_WORKER} : admission.place(ctx, claims);
	}

	async #waitAndDeliver(
		ctx: RequestContext,
		claims: readonly ResourceClaim[],
		blockedBy: string,
		body: Buffer | LongBody | undefined,
		cancellation: Cancellation,
		run: DeduplicatedRun | undefined,
	): Promise<void> {
		if (isMemberLimit(blockedBy) || blockedBy === (RejectionCode.Isolated as string)) {
			this.#rejectRun(ctx, this.#createRejection(ctx, blockedBy), run);
			return;
		}

		const placed = await this.deps.admission.waitForPlacement(ctx, claims, cancellation.signal);
		if (!placed.ok) {
			this.#rejectRun(ctx, this.#createRejection(ctx, placed.blockedBy), run);
			return;
		}

		await this.#deliver(ctx, claims, placed.placement, body, cancellation, run);
	}

	#createRejection(ctx: RequestContext, blockedBy: string): Rejection {
		if (blockedBy === (RejectionCode.Isolated as string)) {
			return rejectRetryable(RejectionCode.Isolated, 'this host is isolated or has just resumed after a pause; try another host', 1000);
		}

		return blockedBy === (RejectionCode.Stopping as string) ? rejectStopping() : this.deps.admission.createRejection(ctx.service, blockedBy);
	}

	async #deliver(
		ctx: RequestContext,
		claims: readonly ResourceClaim[],
		placement: Placement,
		body: Buffer | LongBody | undefined,
		cancellation: Cancellation,
		run: DeduplicatedRun | undefined,
	): Promise<void> {
		const isStreamed = body !== undefined && !Buffer.isBuffer(body);
		if (isStreamed && await hasCallerLeft(body, cancellation)) {
			placement.units.release();
			this.#rejectRun(ctx, rejectCallerLeft(), run);
			return;
		}

		this.#logPlacement('dispatch', ctx, placement, undefined);
		const delivery = new Delivery({
			clock: this.deps.clock,
			admission: this.deps.admission,
			hostId: this.deps.hostId,
			maxStoredBytes: this.deps.maxBufferedBytes,
			onShed: () => {
				this.deps.metrics.count('sheds');
			},
			onExtraAttempt: (extraCtx, kind, extra, cause) => {
				this.#recordExtraAttempt(extraCtx, kind, extra, cause);
			},
		}, ctx, this.deps.pacings.get(ctx.service.name), claims, body, run !== undefined);
		cancellation.onCancel = () => {
			delivery.handleCallerDisconnect();
		};

		const stopWatching = isStreamed
			? this.deps.stalls.watch(ctx.req, () => {
				delivery.handleCallerStall();
			}, body)
			: undefined;
		const result = await delivery.run(placement);
		stopWatching?.();
		cancellation.onCancel = undefined;
		this.#finish(ctx, result, run);
	}

	#finish(ctx: RequestContext, result: DeliveryResult, run: DeduplicatedRun | undefined): void {
		const {clock, metrics, memory} = this.deps;
		const durationMs = clock.monotonic() - ctx.startedMs;
		metrics.latency(`latency.${ctx.service.name}`, durationMs);
		if (run) {
			if (result.outcome === Outcome.Answered) {
				memory.complete(run.record, result.storedResponse);
			} else if (result.outcome === Outcome.NotRun) {
				this.#discardRun(run);
			} else {
				run.record.settle(RequestState.Unknown);
			}
		}

		if (result.rejection) {
			this.deps.replier.reply(ctx.res, result.rejection, ctx);
			return;
		}

		metrics.count('outcome.answered');
	}

	/** Rejects a request that has not run, and discards its record. */
	#rejectRun(ctx: RequestContext, rejection: Rejection, run: DeduplicatedRun | undefined): void {
		if (run) {
			this.#discardRun(run);
		}

		this.deps.replier.reply(ctx.res, rejection, ctx);
	}

	#discardRun(run: DeduplicatedRun): void {
		this.deps.gate.discard(run);
		if (run.claimKey !== undefined) {
			this.deps.deleteClaim(run.claimKey);
		}
	}

	/** Forwards a request to a peer that likely has room. @returns whether the request has finished. */
	async #forwardToPeer(ctx: RequestContext, body: Buffer | LongBody | undefined, blockedBy: string, cancellation: Cancellation): Promise<boolean> {
		const {peers, region} = this.deps;
		const hasNoShift = blockedBy === (RejectionCode.NoShift as string);
		const target = hasNoShift ? ctx.home ?? region : region;
		const peer = peers.findWithRoom(target, ctx.service.name, ctx.caps, ctx.member.name, hasNoShift ? Number.NEGATIVE_INFINITY : this.deps.admission.getRoom(ctx.service.name)) ?? this.#findShiftPeer(ctx, blockedBy);
		if (!peer) {
			return false;
		}

		const result = await this.forward(ctx, peer, body, blockedBy, cancellation);
		if (result.refusal && !result.mayHaveReachedPeer) {
			return false;
		}

		if (result.refusal) {
			this.deps.replier.reply(ctx.res, result.refusal, ctx);
		}

		return true;
	}

	/** Selects a peer in another region that a shift allows, if no local worker is free. */
	#findShiftPeer(ctx: RequestContext, blockedBy: string): PeerAddress | undefined {
		if (blockedBy !== NO_WORKER) {
			return undefined;
		}

		for (const shift of ctx.state.shiftsFrom(ctx.home ?? this.deps.region, ctx.service.name)) {
			const peer = this.deps.peers.findWithRoom(shift.to, ctx.service.name, ctx.caps, ctx.member.name, 0);
			if (peer) {
				return peer;
			}
		}

		return undefined;
	}

	/** Forwards a request to one peer; resolves when the peer's response is complete or forwarding failed. */
	async forward(ctx: RequestContext, peer: PeerAddress, body: Buffer | LongBody | undefined, reason: string, cancellation: Cancellation): Promise<ForwardResult> {
		if (!this.deps.shutdownDeadline.allows(ctx)) {
			return {mayHaveReachedPeer: false, refusal: rejectStopping(), peerRoom: undefined};
		}

		if (body !== undefined && !Buffer.isBuffer(body) && await hasCallerLeft(body, cancellation)) {
			return {mayHaveReachedPeer: false, refusal: rejectCallerLeft(), peerRoom: undefined};
		}

		this.deps.log.info({
			event: 'forward', reqId: ctx.logId, service: ctx.service.name, member: ctx.member.name, peer: peer.id, reason,
		});
		this.deps.metrics.count('forwards');
		this.deps.peers.recordForward(peer.id, ctx.service.name);
		const result = await this.deps.forwarder.forward(ctx, peer, body, cancel => {
			cancellation.onCancel = cancel;
		});
		cancellation.onCancel = undefined;
		if (result.peerRoom !== undefined) {
			this.deps.peers.recordRoom(peer.id, ctx.service.name, result.peerRoom);
		}

		return result;
	}

	#logPlacement(event: string, ctx: RequestContext, {link, choice, figureAges}: Placement, cause: string | undefined): void {
		this.deps.log.info({
			event,
			reqId: ctx.logId,
			service: ctx.service.name,
			member: ctx.member.name,
			worker: link.worker.name,
			score: Math.round(choice.score * 100) / 100,
			considered: choice.considered,
			free: link.free,
			granted: link.holding.granted,
			latencyAgeMs: figureAges.latencyMs,
			loadAgeMs: figureAges.loadMs,
			load: link.load?.value,
			cause,
		});
	}

	#recordExtraAttempt(ctx: RequestContext, kind: ExtraAttemptKind, placement: Placement, cause: string): void {
		this.deps.metrics.count(kind);
		this.#logPlacement(kind, ctx, placement, cause);
	}
}

/** Whether the caller has left, after what had arrived of its body is read: the end of its connection lies behind that. */
async function hasCallerLeft(body: LongBody, cancellation: Cancellation): Promise<boolean> {
	await body.readArrived();
	return cancellation.isCancelled;
}

function rejectCallerLeft(): Rejection {
	return rejectNotRun(RejectionCode.CallerLeft, 499, 'the caller left before the request was sent');
}
