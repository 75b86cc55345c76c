import type {Buffer} from 'node:buffer';
import {createHash, randomUUID} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {RepeatPolicy} from '@apricotwood/agreement';
import type {Clock} from '@apricotwood/clock';
import {
	BeginResult, ClaimResult, RequestState, TicketFault, type ClaimRegistry, type IdempotencyStore, type RequestRecord, type StoredResponse, type Ticket, type TicketSigner,
} from '@apricotwood/once';
import type {Cancellation} from './cancellation.js';
import {
	RejectionCode, rejectUnknown, rejectNotRun, type Rejection,
} from './rejection.js';
import type {RequestContext} from './context.js';

/** Action for a request whose id may have been received before. */
export enum DeduplicationStep {
	/** Processing continues on this host without a record of the request. */
	Proceed = 'plain',
	/** The request runs on this host; its record is settled when it finishes. */
	Run = 'run',
	/** The request is forwarded to the host that owns its id. */
	Forward = 'elsewhere',
	/** The caller receives the stored response of the first run. */
	Replay = 'replay',
	/** The caller receives an error response. */
	Reject = 'refuse',
}

/** Action for a request and the data it needs. */
export type DeduplicationDecision
	= | {readonly step: DeduplicationStep.Proceed}
		| {readonly step: DeduplicationStep.Run; readonly run: DeduplicatedRun}
		| {readonly step: DeduplicationStep.Forward; readonly host: string; readonly incarnation: string}
		| {readonly step: DeduplicationStep.Replay; readonly answer: StoredResponse}
		| {readonly step: DeduplicationStep.Reject; readonly rejection: Rejection};

/** A request with an id that is running on this host. */
export type DeduplicatedRun = {
	readonly key: string;
	readonly record: RequestRecord;
	/** Table key of the id's claim; `undefined` for a request with a ticket. */
	readonly claimKey: string | undefined;
};

/** Time to keep the record of an id without a ticket, ms. Its claim in the table is kept longer. */
const CLAIMED_RECORD_TTL_MS = 60_000;

/** Dependencies of {@link DeduplicationGate} and identity of this host. */
export type DeduplicationGateOptions = {
	readonly clock: Clock;
	readonly memory: IdempotencyStore;
	readonly signer: TicketSigner;
	readonly claims: ClaimRegistry;
	readonly hostId: string;
	readonly incarnation: string;
};

/**
 * Decides which host runs a request id, so that it runs at most once. With a ticket,
 * the host incarnation named in the ticket runs and records it; without a ticket, the
 * host with the first claim in the table does.
 */
export class DeduplicationGate {
	constructor(private readonly options: DeduplicationGateOptions) {}

	/** Whether the complete body is needed for the digest of a request. */
	needsBody(ctx: RequestContext): boolean {
		return ctx.repeat === RepeatPolicy.AtMostOnce && ctx.headers.requestId !== undefined;
	}

	/** Validates the ticket of a request before its body is read, and decides whether another host owns the request. */
	checkTicket(ctx: RequestContext): DeduplicationDecision {
		const {requestId, ticket} = ctx.headers;
		if (ctx.repeat === RepeatPolicy.Idempotent || (requestId === undefined && ticket === undefined)) {
			return {step: DeduplicationStep.Proceed};
		}

		if (ticket === undefined) {
			return {step: DeduplicationStep.Proceed};
		}

		if (requestId === undefined) {
			return toRejectDecision(rejectNotRun(RejectionCode.TicketWithoutId, 400, 'a ticket requires a request id; send apricotwood-request-id too'));
		}

		return this.#validateTicket(ctx, ticket);
	}

	/**
	 * Records a request id as running, or decides by the state of its earlier run.
	 * @param body the complete body if `needsBody` returns true for the request.
	 */
	async begin(ctx: RequestContext, body: Buffer | undefined, cancellation: Cancellation): Promise<DeduplicationDecision> {
		const {requestId} = ctx.headers;
		if (ctx.repeat === RepeatPolicy.Idempotent || requestId === undefined) {
			return {step: DeduplicationStep.Proceed};
		}

		const {clock, memory} = this.options;
		const key = `${ctx.member.name}/${ctx.service.name}/${requestId}`;
		const ticket = this.#getVerifiedTicket(ctx);
		const expiresAtMs = ticket?.expiresAtMs ?? clock.now() + CLAIMED_RECORD_TTL_MS;
		const digest = digestRequest(ctx.req, ctx.path, body);
		const {result, record} = memory.begin(key, digest, expiresAtMs);
		if (result === BeginResult.Full || !record) {
			return toRejectDecision(this.#createFullRejection(ticket));
		}

		if (result === BeginResult.Conflict) {
			return toRejectDecision(rejectUnknown(RejectionCode.IdConflict, 409, 'this request id was already used for a different request; use a new id'));
		}

		if (result === BeginResult.Known) {
			return this.#resolveKnownId(record, cancellation);
		}

		const run: DeduplicatedRun = {key, record, claimKey: ticket ? undefined : `claim/${key}`};
		return ticket ? {step: DeduplicationStep.Run, run} : this.#claimId(run, digest);
	}

	/** Removes the record of an id that is known not to have run, so that the request can be sent again. */
	discard({key, record}: DeduplicatedRun): void {
		record.settle(RequestState.Unknown);
		this.options.memory.remove(key);
	}

	#getVerifiedTicket(ctx: RequestContext): Ticket | undefined {
		const {ticket} = ctx.headers;
		const verified = ticket === undefined ? undefined : this.options.signer.verify(ticket);
		return verified?.ok ? verified.ticket : undefined;
	}

	#validateTicket(ctx: RequestContext, text: string): DeduplicationDecision {
		const verified = this.options.signer.verify(text);
		if (!verified.ok) {
			const isForged = verified.fault === TicketFault.Forged;
			return toRejectDecision(isForged
				? rejectUnknown(RejectionCode.TicketForged, 403, 'the signature of the ticket is invalid; send the ticket of the lookup unchanged')
				: rejectUnknown(RejectionCode.TicketMalformed, 400, 'the ticket is malformed; send the ticket of the lookup unchanged'));
		}

		const {ticket} = verified;
		if (ticket.member !== ctx.member.name || ticket.service !== ctx.service.name) {
			return toRejectDecision(rejectUnknown(RejectionCode.TicketForeign, 403, 'the ticket was issued for another member or service; repeat the lookup for this one'));
		}

		if (ticket.expiresAtMs <= this.options.clock.now()) {
			return toRejectDecision(rejectUnknown(RejectionCode.TicketExpired, 410, 'the ticket has expired; this request id may have run before'));
		}

		if (ticket.host !== this.options.hostId) {
			return {step: DeduplicationStep.Forward, host: ticket.host, incarnation: ticket.incarnation};
		}

		if (ticket.incarnation !== this.options.incarnation) {
			return toRejectDecision(rejectUnknown(RejectionCode.TicketHostGone, 410, 'the host named in the ticket has restarted; this request id may have run before'));
		}

		return {step: DeduplicationStep.Proceed};
	}

	/** With a ticket, only this host may run the id, so it did not run; without one, it may have run on another host. */
	#createFullRejection(ticket: Ticket | undefined): Rejection {
		const message = 'the request id store of this host is full; retry later';
		const {retryAfterMs} = this.options.memory;
		return ticket ? rejectNotRun(RejectionCode.IdMemoryFull, 503, message, retryAfterMs) : rejectUnknown(RejectionCode.IdMemoryFull, 503, message, retryAfterMs);
	}

	/** Decides a repeat by the state of the first run, after waiting for it to finish. */
	async #resolveKnownId(record: RequestRecord, cancellation: Cancellation): Promise<DeduplicationDecision> {
		await record.waitUntilSettled(cancellation.signal);
		switch (record.state) {
			case RequestState.Answered: {
				return record.response
					? {step: DeduplicationStep.Replay, answer: record.response}
					: toRejectDecision(rejectUnknown(RejectionCode.AnswerNotKept, 409, 'this request id was answered, but the response was too large to store'));
			}

			case RequestState.AnsweredNotKept: {
				return toRejectDecision(rejectUnknown(RejectionCode.AnswerNotKept, 409, 'this request id was answered, but the response was too large to store'));
			}

			case RequestState.Running: {
				return toRejectDecision(rejectUnknown(RejectionCode.IdRunning, 409, 'the request with this id is still running; retry with the same id', 200));
			}

			case RequestState.Unknown: {
				return toRejectDecision(rejectUnknown(RejectionCode.IdUnknown, 409, 'the request with this id may have run; it is not run again'));
			}
		}
	}

	async #claimId(run: DeduplicatedRun, digest: string): Promise<DeduplicationDecision> {
		const {claims, hostId, incarnation, clock} = this.options;
		const owner = `${hostId}/${incarnation}/${randomUUID()}`;
		const {result, owner: storedOwner} = await claims.claim(run.claimKey ?? '', owner, digest, clock.now());
		if (result === ClaimResult.Won) {
			return {step: DeduplicationStep.Run, run};
		}

		this.discard(run);
		switch (result) {
			case ClaimResult.Conflict: {
				return toRejectDecision(rejectUnknown(RejectionCode.IdConflict, 409, 'this request id was already used for a different request; use a new id'));
			}

			case ClaimResult.Lost: {
				return this.#forwardToOwner(storedOwner ?? '');
			}

			case ClaimResult.NoStore: {
				return toRejectDecision(rejectUnknown(RejectionCode.NoStore, 503, 'the store for request ids does not respond; retry with the same id, or with a ticket', 1000));
			}
		}
	}

	/** Forwards a repeat to the owner of the claim, which may have stored the response. */
	#forwardToOwner(owner: string): DeduplicationDecision {
		const [host = '', incarnation = ''] = owner.split('/');
		if (host === this.options.hostId) {
			return toRejectDecision(rejectUnknown(RejectionCode.IdUnknown, 409, 'the request with this id may have run; it is not run again'));
		}

		return {step: DeduplicationStep.Forward, host, incarnation};
	}
}

function toRejectDecision(rejection: Rejection): DeduplicationDecision {
	return {step: DeduplicationStep.Reject, rejection};
}

/** SHA-256 digest of method, path, content type and body; only the length of a streamed body is included. */
function digestRequest(req: IncomingMessage, path: string, body: Buffer | undefined): string {
	const hash = createHash('sha256');
	hash.update(`${req.method ?? ''}\n${path}\n${req.headers['content-type'] ?? ''}\n`);
	hash.update(body ?? `length ${req.headers['content-length'] ?? 'unknown'}`);
	return hash.digest('base64');
}
