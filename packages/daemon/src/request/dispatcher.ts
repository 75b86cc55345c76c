import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	BodyFlow, HeldBytes, LongBody, hasBody, type Intake,
} from '@apricotwood/admission';
import {RepeatPolicy, TOTAL_DEMAND_GROUP, memberDemandGroup, serviceDemandGroup} from '@apricotwood/agreement';
import {readPendingInput, type Clock} from '@apricotwood/clock';
import {Outcome} from '@apricotwood/once';
import type {ShutdownDeadline} from '@apricotwood/steering';
import type {Log, Metrics} from '@apricotwood/telemetry';
import type {DemandTracker} from '../control/demand.js';
import type {HostLifecycle} from '../host/phase.js';
import type {Admission} from './admission.js';
import {sendStoredResponse} from './response.js';
import {BodyResult, readBody, type BodyReadResult} from './body.js';
import {Cancellation} from './cancellation.js';
import {
	RejectionCode, rejectRetryable, rejectStopping, rejectUnknown, rejectNotRun, type Rejection,
} from './rejection.js';
import type {RequestContext} from './context.js';
import {HeaderName} from './headers.js';
import type {InFlightRequests} from './in-flight-requests.js';
import type {RequestReader} from './request-reader.js';
import {DeduplicationStep, type DeduplicationGate} from './deduplication.js';
import type {AttemptPolicies} from './attempt-policies.js';
import type {PeerSelector} from './peers.js';
import type {Placer} from './placer.js';
import type {Replier} from './replier.js';
import type {StallDetector} from './stall-detector.js';

/** Assumed run time of a request while no latency has been measured, ms. */
const ASSUMED_LATENCY_MS = 100;

/** Dependencies of {@link Dispatcher}. */
export type DispatcherDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly lifecycle: HostLifecycle;
	readonly requestReader: RequestReader;
	readonly gate: DeduplicationGate;
	readonly admission: Admission;
	readonly pacings: AttemptPolicies;
	readonly peers: PeerSelector;
	readonly placer: Placer;
	readonly replier: Replier;
	readonly demand: DemandTracker;
	readonly stalls: StallDetector;
	readonly intake: Intake;
	readonly inFlight: InFlightRequests;
	readonly shutdownDeadline: ShutdownDeadline;
	/** Maximum size of a buffered request body, bytes. */
	readonly maxBufferedBytes: number;
	/** Whether the log buffer is full. */
	readonly isLogFull: () => boolean;
};

/** Handles each request of a caller or peer until it has exactly one outcome. */
export class Dispatcher {
	readonly #held = new HeldBytes();

	constructor(private readonly deps: DispatcherDeps) {}

	/** Handles one request; resolves when it has finished. */
	async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const rejection = this.#checkOpen();
		if (rejection) {
			this.deps.replier.reply(res, this.#mayHaveRunBefore(req, res) ? {...rejection, outcome: Outcome.Unknown} : rejection, undefined);
			return;
		}

		const readResult = this.deps.requestReader.read(req, res);
		if (!readResult.ok) {
			this.deps.replier.reply(res, readResult.rejection, undefined);
			return;
		}

		if (readResult.ctx.isForwarded) {
			const room = this.deps.admission.getRoom(readResult.ctx.service.name);
			res.setHeader(HeaderName.Room, room);
		}

		this.deps.inFlight.add(readResult.ctx);
		const groups = getDemandGroups(readResult.ctx);
		for (const group of groups) {
			this.deps.demand.begin(group);
		}

		try {
			await this.#serve(readResult.ctx);
		} catch (error) {
			this.deps.log.error({event: 'internal-error', reqId: readResult.ctx.logId, message: (error as Error).stack});
			this.deps.replier.reply(res, rejectUnknown(RejectionCode.Internal, 500, 'unexpected error; the request may have run'), readResult.ctx);
		} finally {
			this.deps.inFlight.finish(readResult.ctx);
			this.#endDemand(groups, readResult.ctx);
		}
	}

	/**
	 * Removes a request from the demand. A request with a 429 or 503 response counts
	 * for its expected run time; otherwise a host without units would report no
	 * demand and never be granted units.
	 */
	#endDemand(groups: readonly string[], {res, service}: RequestContext): void {
		const end = () => {
			for (const group of groups) {
				this.deps.demand.end(group);
			}
		};

		const wasRejected = res.statusCode === 429 || res.statusCode === 503;
		if (wasRejected) {
			this.deps.clock.after(this.deps.pacings.get(service.name).latency.value() ?? ASSUMED_LATENCY_MS, end);
		} else {
			end();
		}
	}

	/** Returns a rejection if this host accepts no requests at present. */
	#checkOpen(): Rejection | undefined {
		if (!this.deps.lifecycle.isServing) {
			return rejectNotRun(RejectionCode.Stopping, 503, 'this host accepts no requests at present; try another host', 1000);
		}

		return this.deps.isLogFull() ? rejectRetryable(RejectionCode.LogBacklog, 'the log buffer is full; try another host', 1000) : undefined;
	}

	/** Whether an earlier request with the same id may have run; its record is not looked up. */
	#mayHaveRunBefore(req: IncomingMessage, res: ServerResponse): boolean {
		if (req.headers[HeaderName.RequestId] === undefined) {
			return false;
		}

		const readResult = this.deps.requestReader.read(req, res);
		return readResult.ok && readResult.ctx.repeat !== RepeatPolicy.Idempotent;
	}

	async #serve(ctx: RequestContext): Promise<void> {
		const decision = this.deps.gate.checkTicket(ctx);
		if (decision.step === DeduplicationStep.Reject) {
			this.deps.replier.reply(ctx.res, decision.rejection, ctx);
			return;
		}

		const cancellation = new Cancellation();
		const onClose = () => {
			cancellation.cancel();
		};

		const {socket} = ctx.req;
		ctx.res.once('close', onClose);
		socket.once('end', onClose);
		try {
			await readPendingInput();
			if (socket.readableEnded || socket.destroyed) {
				return;
			}

			await (decision.step === DeduplicationStep.Forward
				? this.#useBody(ctx, undefined, async body => this.#forwardToOwner(ctx, decision, body, cancellation))
				: this.#serveLocally(ctx, cancellation));
		} finally {
			ctx.res.off('close', onClose);
			socket.off('end', onClose);
		}
	}

	async #serveLocally(ctx: RequestContext, cancellation: Cancellation): Promise<void> {
		const needsDeduplication = this.deps.gate.needsBody(ctx) || (ctx.repeat === RepeatPolicy.Upload && ctx.headers.requestId !== undefined);
		// Whether a request with an id has run before is known only after its body has been read.
		if (!needsDeduplication && !this.deps.shutdownDeadline.allows(ctx)) {
			this.deps.replier.reply(ctx.res, rejectStopping(), ctx);
			return;
		}

		const readResult = await this.#readBody(ctx, cancellation);
		if (readResult && readResult.result !== BodyResult.Complete) {
			this.deps.replier.reply(ctx.res, this.#createBodyRejection(ctx, readResult), ctx);
			return;
		}

		await this.#useBody(ctx, readResult?.body, async body => this.#deduplicateAndPlace(ctx, body, needsDeduplication, cancellation));
	}

	/** Calls `use` with the body that is to be sent: the one that has been read, or one that is streamed. */
	async #useBody(ctx: RequestContext, bufferedBody: Buffer | undefined, use: (body: Buffer | LongBody | undefined) => Promise<void>): Promise<void> {
		const longBody = bufferedBody === undefined && hasBody(ctx.req) ? this.#createLongBody(ctx) : undefined;
		try {
			await use(bufferedBody ?? longBody);
		} finally {
			longBody?.release();
		}
	}

	#createLongBody({req}: RequestContext): LongBody {
		const {pacer, guard} = this.deps.intake;
		return new LongBody(new BodyFlow(req, pacer), {maxBytes: Number.POSITIVE_INFINITY, held: this.#held, holding: guard.findHolding(req)});
	}

	async #deduplicateAndPlace(ctx: RequestContext, body: Buffer | LongBody | undefined, needsDeduplication: boolean, cancellation: Cancellation): Promise<void> {
		const claims = this.deps.placer.getClaims(ctx);
		if (!needsDeduplication) {
			await this.deps.placer.place(ctx, claims, body, cancellation, undefined);
			return;
		}

		const decision = await this.deps.gate.begin(ctx, Buffer.isBuffer(body) ? body : undefined, cancellation);
		switch (decision.step) {
			case DeduplicationStep.Reject: {
				this.deps.replier.reply(ctx.res, decision.rejection, ctx);
				return;
			}

			case DeduplicationStep.Replay: {
				this.deps.log.info({
					event: 'replay', reqId: ctx.logId, service: ctx.service.name, member: ctx.member.name,
				});
				this.deps.metrics.count('outcome.replayed');
				sendStoredResponse(ctx.res, decision.answer);
				return;
			}

			case DeduplicationStep.Forward: {
				await this.#forwardToOwner(ctx, decision, body, cancellation);
				return;
			}

			case DeduplicationStep.Proceed:
			case DeduplicationStep.Run: {
				await this.deps.placer.place(ctx, claims, body, cancellation, decision.step === DeduplicationStep.Run ? decision.run : undefined);
			}
		}
	}

	/** Buffers a body that is needed for the request digest or for resending; otherwise returns `undefined`. */
	async #readBody(ctx: RequestContext, cancellation: Cancellation): Promise<BodyReadResult | undefined> {
		const isResendable = ctx.repeat === RepeatPolicy.Idempotent && Number(ctx.req.headers['content-length'] ?? Infinity) <= this.deps.maxBufferedBytes;
		if (!this.deps.gate.needsBody(ctx) && !(isResendable && hasBody(ctx.req))) {
			return undefined;
		}

		const stallController = new AbortController();
		const stopWatching = this.deps.stalls.watch(ctx.req, () => {
			stallController.abort();
		});
		try {
			return await readBody(ctx.req, this.deps.maxBufferedBytes, this.deps.intake, AbortSignal.any([cancellation.signal, stallController.signal]));
		} finally {
			stopWatching();
		}
	}

	/**
	 * Creates the rejection for a body that is too large or incomplete. The request did not run, but the
	 * outcome of a request id without a ticket is unknown: it may have run on another host.
	 */
	#createBodyRejection(ctx: RequestContext, {result}: BodyReadResult): Rejection {
		const reject = ctx.headers.requestId !== undefined && ctx.headers.ticket === undefined && ctx.repeat !== RepeatPolicy.Idempotent ? rejectUnknown : rejectNotRun;
		switch (result) {
			case BodyResult.TooLarge: {
				return reject(RejectionCode.BodyTooLarge, 413, `the body is larger than ${this.deps.maxBufferedBytes} bytes; send it without a request id, or to an upload service`);
			}

			case BodyResult.Stalled: {
				return reject(RejectionCode.CallerStalled, 408, 'the request body stalled; send it without pauses');
			}

			case BodyResult.Complete:
			case BodyResult.Truncated: {
				return reject(RejectionCode.BodyLength, 400, 'the connection closed before the request body was complete');
			}
		}
	}

	/** Forwards a request to the host that owns its request id; the forward is cancelled when the caller leaves. */
	async #forwardToOwner(ctx: RequestContext, {host, incarnation}: OwnerHost, body: Buffer | LongBody | undefined, cancellation: Cancellation): Promise<void> {
		const peer = ctx.isForwarded ? undefined : this.deps.peers.find(host, incarnation);
		if (!peer) {
			this.deps.replier.reply(ctx.res, rejectUnknown(RejectionCode.TicketHostGone, 503, `the owner of this request id, host ${host}, is unreachable; retry with the same id and ticket`, 1000), ctx);
			return;
		}

		const result = await this.deps.placer.forward(ctx, peer, body, 'owner', cancellation);
		if (result.refusal) {
			// An earlier request with this id may have run on the owner.
			this.deps.replier.reply(ctx.res, {...result.refusal, outcome: Outcome.Unknown}, ctx);
		}
	}
}

/** Incarnation of a host that owns a request id. */
type OwnerHost = {readonly host: string; readonly incarnation: string};

/** Demand groups by caps; the caps array identifies member, service and agreement version. */
const groupsByCaps = new WeakMap<RequestContext['caps'], readonly string[]>();

/** Returns the demand groups that a request counts towards. */
function getDemandGroups({service, member, caps}: RequestContext): readonly string[] {
	let groups = groupsByCaps.get(caps);
	if (!groups) {
		groups = [TOTAL_DEMAND_GROUP, serviceDemandGroup(service.name), ...caps.map(cap => memberDemandGroup(member.name, cap.service))];
		groupsByCaps.set(caps, groups);
	}

	return groups;
}
