import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	Repeat, WHOLE_DEMAND, memberDemand, serviceDemand, type Shift,
} from '@apricotwood/agreement';
import type {Clock} from '@apricotwood/clock';
import type {Claimed} from '@apricotwood/ledger';
import {Outcome, RunState, type RequestMemory} from '@apricotwood/once';
import type {Log, Metrics} from '@apricotwood/telemetry';
import type {DemandTracker} from '../control/demand.js';
import type {Fence} from '../control/fence.js';
import type {HostLifecycle} from '../host/phase.js';
import type {ForwardResult, Forwarder, PeerAddress} from '../peer/forward.js';
import {
	NO_WORKER, isMemberLimit, type Admission, type PlaceResult, type Placement,
} from './admission.js';
import {sendRefusal, sendStored, type Alternative} from './answer.js';
import {Cancellation} from './cancellation.js';
import {
	BodyResult, hasBody, readBody, type ReadBody,
} from './body.js';
import {
	Code, defer, doubt, refuse, type Refusal,
} from './codes.js';
import type {RequestContext} from './context.js';
import {Delivery, type DeliveryResult, type ExtraAttempt} from './delivery.js';
import {HeaderName} from './headers.js';
import type {Intake} from './intake.js';
import {OnceStep, type OnceGate, type OnceRun} from './once.js';
import type {Pacings} from './pacing.js';
import type {StallWatch} from './stall.js';

/** Where a request may go besides this host. */
export interface PeerChoice {
	/** The host of an incarnation, while it can be reached. */
	find(host: string, incarnation: string): PeerAddress | undefined;
	/** A host of a region that likely has room for a member's request of a service. */
	withRoom(region: string, service: string, caps: RequestContext['caps'], member: string, ownRoom: number): PeerAddress | undefined;
	/** Notes a request that was passed on. */
	recordForward(host: string, service: string): void;
	/** Notes what a peer said of its room. */
	recordRoom(host: string, service: string, room: number): void;
	/** Hosts that a refused caller may try. */
	alternatives(service: string): readonly Alternative[];
}

/** How long a request would have run, while nothing has been measured, ms. */
const ASSUMED_LATENCY_MS = 100;

export type DispatcherDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly life: HostLifecycle;
	readonly fence: Fence;
	readonly intake: Intake;
	readonly gate: OnceGate;
	readonly memory: RequestMemory;
	readonly admission: Admission;
	readonly pacings: Pacings;
	readonly forwarder: Forwarder;
	readonly peers: PeerChoice;
	readonly demand: DemandTracker;
	readonly stalls: StallWatch;
	readonly hostId: string;
	readonly region: string;
	readonly maxBufferedBytes: number;
	/** Whether the log can take no more lines now. */
	readonly isLogFull: () => boolean;
	/** Takes back the claim of a request that did not run; best effort. */
	readonly dropClaim: (key: string) => void;
};

/** Takes requests of callers and peers and brings each to its one outcome. */
export class Dispatcher {
	#inFlight = 0;

	constructor(private readonly deps: DispatcherDeps) {}

	/** Requests that have not ended. */
	get inFlight(): number {
		return this.#inFlight;
	}

	async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const closed = this.#refuseClosed();
		if (closed) {
			this.#reply(res, closed, undefined);
			return;
		}

		const intake = this.deps.intake.read(req, res);
		if (!intake.ok) {
			this.#reply(res, intake.refusal, undefined);
			return;
		}

		if (intake.ctx.isForwarded) {
			const room = this.deps.admission.roomOf(intake.ctx.service.name);
			res.setHeader(HeaderName.Room, room);
		}

		this.#inFlight++;
		const groups = demandGroups(intake.ctx);
		for (const group of groups) {
			this.deps.demand.begin(group);
		}

		try {
			await this.#serve(intake.ctx);
		} catch (error) {
			this.deps.log.error({event: 'internal-error', reqId: intake.ctx.logId, message: (error as Error).stack});
			this.#reply(res, doubt(Code.Internal, 500, 'an unexpected error; whether the request ran is not known'), intake.ctx);
		} finally {
			this.#inFlight--;
			this.#endDemand(groups, intake.ctx);
		}
	}

	/**
	 * Ends a request's part in the demand. One that was refused for want of room
	 * counts for as long as it would have run: else a host without units would
	 * show no demand, and never get any.
	 */
	#endDemand(groups: readonly string[], {res, service}: RequestContext): void {
		const end = () => {
			for (const group of groups) {
				this.deps.demand.end(group);
			}
		};

		const wasRefused = res.statusCode === 429 || res.statusCode === 503;
		if (wasRefused) {
			this.deps.clock.after(this.deps.pacings.of(service.name).latency.value() ?? ASSUMED_LATENCY_MS, end);
		} else {
			end();
		}
	}

	/** Why no request is taken now, whoever sends it. */
	#refuseClosed(): Refusal | undefined {
		if (!this.deps.life.isServing) {
			return refuse(Code.Stopping, 503, 'this host takes no requests now; try another one', 1000);
		}

		return this.deps.isLogFull() ? defer(Code.LogBacklog, 'the log cannot take the decision; try another host', 1000) : undefined;
	}

	async #serve(ctx: RequestContext): Promise<void> {
		const located = this.deps.gate.locate(ctx);
		if (located.step === OnceStep.Refuse) {
			this.#reply(ctx.res, located.refusal, ctx);
			return;
		}

		if (located.step === OnceStep.Elsewhere) {
			await this.#passToOwner(ctx, located.host, located.incarnation, undefined);
			return;
		}

		const cancellation = new Cancellation();
		const onClose = () => {
			cancellation.cancel();
		};

		ctx.res.once('close', onClose);
		try {
			await this.#serveHere(ctx, cancellation);
		} finally {
			ctx.res.off('close', onClose);
		}
	}

	async #serveHere(ctx: RequestContext, cancellation: Cancellation): Promise<void> {
		const read = await this.#readBody(ctx, cancellation);
		if (read && read.result !== BodyResult.Whole) {
			this.#reply(ctx.res, this.#refuseBody(ctx, read), ctx);
			return;
		}

		const body = read ? read.body : (hasBody(ctx.req) ? ctx.req : undefined);
		const claims = this.#claimsFor(ctx);
		const needsGate = this.deps.gate.needsBody(ctx) || (ctx.repeat === Repeat.Upload && ctx.headers.requestId !== undefined);
		if (!needsGate) {
			await this.#place(ctx, claims, body, cancellation, undefined);
			return;
		}

		const begun = await this.deps.gate.begin(ctx, read?.body, cancellation);
		switch (begun.step) {
			case OnceStep.Refuse: {
				this.#reply(ctx.res, begun.refusal, ctx);
				return;
			}

			case OnceStep.Replay: {
				this.deps.log.info({
					event: 'replay', reqId: ctx.logId, service: ctx.service.name, member: ctx.member.name,
				});
				this.deps.metrics.count('outcome.replayed');
				sendStored(ctx.res, begun.answer);
				return;
			}

			case OnceStep.Elsewhere: {
				await this.#passToOwner(ctx, begun.host, begun.incarnation, read?.body);
				return;
			}

			case OnceStep.Plain:
			case OnceStep.Run: {
				await this.#place(ctx, claims, body, cancellation, begun.step === OnceStep.Run ? begun.run : undefined);
			}
		}
	}

	/** Reads a body that must be known as a whole: for a digest, or to be sent again. */
	async #readBody(ctx: RequestContext, cancellation: Cancellation): Promise<ReadBody | undefined> {
		const isRepeatable = ctx.repeat === Repeat.Idempotent && Number(ctx.req.headers['content-length'] ?? Infinity) <= this.deps.maxBufferedBytes;
		if (!this.deps.gate.needsBody(ctx) && !(isRepeatable && hasBody(ctx.req))) {
			return undefined;
		}

		const stall = new AbortController();
		const unwatch = this.deps.stalls.watch(ctx.req, () => {
			stall.abort();
		});
		try {
			return await readBody(ctx.req, this.deps.maxBufferedBytes, AbortSignal.any([cancellation.signal, stall.signal]));
		} finally {
			unwatch();
		}
	}

	/** Nothing has run of a request whose body never came whole; but its id may have run before, elsewhere. */
	#refuseBody(ctx: RequestContext, {result}: ReadBody): Refusal {
		const say = ctx.headers.requestId !== undefined && ctx.headers.ticket === undefined && ctx.repeat !== Repeat.Idempotent ? doubt : refuse;
		switch (result) {
			case BodyResult.TooLarge: {
				return say(Code.BodyTooLarge, 413, `the body is larger than ${this.deps.maxBufferedBytes} bytes; send it without a request id, or to an upload service`);
			}

			case BodyResult.Stalled: {
				return say(Code.CallerStalled, 408, 'the body stopped coming; send it without a pause');
			}

			case BodyResult.Whole:
			case BodyResult.Cut: {
				return say(Code.BodyLength, 400, 'the body ended before its length');
			}
		}
	}

	/** Units needed here; `undefined` when the agreement lets this caller be served only elsewhere. */
	#claimsFor(ctx: RequestContext): readonly Claimed[] | undefined {
		const {region} = this.deps;
		const {home, state} = ctx;
		let shift: Shift | undefined;
		if (home !== undefined && home !== region) {
			shift = state.shiftsFrom(home, ctx.service.name).find(candidate => candidate.to === region);
			if (!shift) {
				return undefined;
			}
		}

		return this.deps.admission.claimsOf(ctx, state, shift);
	}

	async #place(
		ctx: RequestContext,
		claims: readonly Claimed[] | undefined,
		body: Buffer | IncomingMessage | undefined,
		cancellation: Cancellation,
		run: OnceRun | undefined,
	): Promise<void> {
		const placed = claims === undefined ? undefined : this.#tryPlace(ctx, claims);
		if (placed?.ok && claims) {
			await this.#deliver(ctx, claims, placed.placement, body, cancellation, run);
			return;
		}

		const blockedBy = placed && !placed.ok ? placed.blockedBy : Code.NoShift;
		// A request id that this incarnation must run itself is not passed on.
		const isPinned = run !== undefined;
		if (!ctx.isForwarded && !isPinned && await this.#passOn(ctx, body, blockedBy, cancellation)) {
			return;
		}

		if (!claims) {
			this.#refuseRun(ctx, defer(Code.NoShift, `no shift lets callers of ${ctx.home ?? ''} be served in ${this.deps.region}`), run);
			return;
		}

		await this.#wait(ctx, claims, blockedBy, body, cancellation, run);
	}

	#tryPlace(ctx: RequestContext, claims: readonly Claimed[]): PlaceResult {
		const {admission, fence} = this.deps;
		if (!fence.mayStart()) {
			return {ok: false, blockedBy: Code.Isolated};
		}

		// Those who wait go first.
		const isQueued = admission.queueOf(ctx.service.name).length > 0;
		return isQueued ? {ok: false, blockedBy: NO_WORKER} : admission.place(ctx.service.name, claims);
	}

	async #wait(
		ctx: RequestContext,
		claims: readonly Claimed[],
		blockedBy: string,
		body: Buffer | IncomingMessage | undefined,
		cancellation: Cancellation,
		run: OnceRun | undefined,
	): Promise<void> {
		if (isMemberLimit(blockedBy) || blockedBy === (Code.Isolated as string)) {
			this.#refuseRun(ctx, this.#refusalFor(ctx, blockedBy), run);
			return;
		}

		const placed = await this.deps.admission.waitForPlace(ctx, claims, cancellation.signal);
		if (!placed.ok) {
			this.#refuseRun(ctx, this.#refusalFor(ctx, placed.blockedBy), run);
			return;
		}

		await this.#deliver(ctx, claims, placed.placement, body, cancellation, run);
	}

	#refusalFor(ctx: RequestContext, blockedBy: string): Refusal {
		if (blockedBy === (Code.Isolated as string)) {
			return defer(Code.Isolated, 'this host is cut off, or has just woken; try another one', 1000);
		}

		return this.deps.admission.refusalOf(ctx.service, blockedBy);
	}

	async #deliver(
		ctx: RequestContext,
		claims: readonly Claimed[],
		placement: Placement,
		body: Buffer | IncomingMessage | undefined,
		cancellation: Cancellation,
		run: OnceRun | undefined,
	): Promise<void> {
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
				this.#noteExtraAttempt(extraCtx, kind, extra, cause);
			},
		}, ctx, this.deps.pacings.of(ctx.service.name), claims, body, run !== undefined);
		cancellation.onCancel = () => {
			delivery.callerLeft();
		};

		const isStreamed = body !== undefined && !Buffer.isBuffer(body);
		const unwatch = isStreamed
			? this.deps.stalls.watch(ctx.req, () => {
				delivery.callerStalled();
			})
			: undefined;
		const result = await delivery.run(placement);
		unwatch?.();
		cancellation.onCancel = undefined;
		this.#settle(ctx, result, run);
	}

	#settle(ctx: RequestContext, result: DeliveryResult, run: OnceRun | undefined): void {
		const {clock, metrics, memory} = this.deps;
		const spanMs = clock.monotonic() - ctx.startedMs;
		metrics.latency(`latency.${ctx.service.name}`, spanMs);
		if (run) {
			if (result.outcome === Outcome.Answered) {
				memory.answer(run.record, result.stored);
			} else if (result.outcome === Outcome.NotRun) {
				this.#forget(run);
			} else {
				run.record.settle(RunState.Unknown);
			}
		}

		if (result.refusal) {
			this.#reply(ctx.res, result.refusal, ctx);
			return;
		}

		metrics.count('outcome.answered');
	}

	/** Refuses a request that was begun and has not run. */
	#refuseRun(ctx: RequestContext, refusal: Refusal, run: OnceRun | undefined): void {
		if (run) {
			this.#forget(run);
		}

		this.#reply(ctx.res, refusal, ctx);
	}

	#forget(run: OnceRun): void {
		this.deps.gate.forget(run);
		if (run.claimKey !== undefined) {
			this.deps.dropClaim(run.claimKey);
		}
	}

	/** Passes a request to the host that alone may run it. */
	async #passToOwner(ctx: RequestContext, host: string, incarnation: string, body: Buffer | undefined): Promise<void> {
		const peer = ctx.isForwarded ? undefined : this.deps.peers.find(host, incarnation);
		if (!peer) {
			this.#reply(ctx.res, doubt(Code.TicketHostGone, 503, `the host that runs this request id, ${host}, cannot be reached; try again with the same id and ticket`, 1000), ctx);
			return;
		}

		const result = await this.#forward(ctx, peer, body ?? (hasBody(ctx.req) ? ctx.req : undefined), 'owner', new Cancellation());
		if (result.refusal) {
			// An earlier attempt with this id may have run there.
			this.#reply(ctx.res, {...result.refusal, outcome: Outcome.Unknown}, ctx);
		}
	}

	/** Passes a request to a peer that likely has room. @returns whether the request has ended. */
	async #passOn(ctx: RequestContext, body: Buffer | IncomingMessage | undefined, blockedBy: string, cancellation: Cancellation): Promise<boolean> {
		const {peers, region} = this.deps;
		const isStrange = blockedBy === (Code.NoShift as string);
		const target = isStrange ? ctx.home ?? region : region;
		const peer = peers.withRoom(target, ctx.service.name, ctx.caps, ctx.member.name, isStrange ? Number.NEGATIVE_INFINITY : this.deps.admission.roomOf(ctx.service.name)) ?? this.#acrossShift(ctx, blockedBy);
		if (!peer) {
			return false;
		}

		const result = await this.#forward(ctx, peer, body, blockedBy, cancellation);
		if (result.refusal && !result.reachedPeer) {
			return false;
		}

		if (result.refusal) {
			this.#reply(ctx.res, result.refusal, ctx);
		}

		return true;
	}

	/** Overflow goes where a shift lets this region's callers go. */
	#acrossShift(ctx: RequestContext, blockedBy: string): PeerAddress | undefined {
		if (blockedBy !== NO_WORKER) {
			return undefined;
		}

		for (const shift of ctx.state.shiftsFrom(ctx.home ?? this.deps.region, ctx.service.name)) {
			const peer = this.deps.peers.withRoom(shift.to, ctx.service.name, ctx.caps, ctx.member.name, 0);
			if (peer) {
				return peer;
			}
		}

		return undefined;
	}

	async #forward(ctx: RequestContext, peer: PeerAddress, body: Buffer | IncomingMessage | undefined, reason: string, cancellation: Cancellation): Promise<ForwardResult> {
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

	#noteExtraAttempt(ctx: RequestContext, kind: ExtraAttempt, placement: Placement, cause: string): void {
		this.deps.metrics.count(kind);
		this.#logPlacement(kind, ctx, placement, cause);
	}

	#reply(res: ServerResponse, refusal: Refusal, ctx: RequestContext | undefined): void {
		const {log, metrics, peers} = this.deps;
		metrics.count(`outcome.${refusal.outcome}`);
		metrics.count(`code.${refusal.code}`);
		log.info({
			event: 'refuse',
			reqId: ctx?.logId,
			service: ctx?.service.name,
			member: ctx?.member.name,
			code: refusal.code,
			outcome: refusal.outcome,
			retryAfterMs: refusal.retryAfterMs,
			reason: refusal.message,
		});
		sendRefusal(res, refusal, ctx ? peers.alternatives(ctx.service.name) : []);
	}
}

/** Groups of demand, by the caps of a member and service in one version. */
const groupsByCaps = new WeakMap<RequestContext['caps'], readonly string[]>();

/** The groups of demand that a request counts for. */
function demandGroups({service, member, caps}: RequestContext): readonly string[] {
	let groups = groupsByCaps.get(caps);
	if (!groups) {
		groups = [WHOLE_DEMAND, serviceDemand(service.name), ...caps.map(cap => memberDemand(member.name, cap.service))];
		groupsByCaps.set(caps, groups);
	}

	return groups;
}
