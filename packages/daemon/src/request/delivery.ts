import type {Buffer} from 'node:buffer';
import type {LongBody} from '@apricotwood/admission';
import {RepeatPolicy} from '@apricotwood/agreement';
import type {Clock, Timer} from '@apricotwood/clock';
import type {ResourceClaim} from '@apricotwood/ledger';
import {Outcome, type StoredResponse} from '@apricotwood/once';
import type {
	Attempt, AttemptFailure, AttemptListener, ResponseHead,
} from '../upstream/attempt.js';
import type {Admission, Placement} from './admission.js';
import type {AttemptPolicy} from './attempt-policy.js';
import {RunningAttempts, type RunningAttempt} from './running-attempts.js';
import {ResponseRelay} from './response-relay.js';
import {Cancellation} from './cancellation.js';
import {
	RejectionCode, rejectUnknown, rejectNotRun, type Rejection,
} from './rejection.js';
import type {RequestContext} from './context.js';
import {AttemptFactory} from './attempt-factory.js';
import {HeaderName} from './headers.js';
import {applyWorkerHeaders} from './worker-headers.js';

/** Final result of a request on this host. */
export type DeliveryResult = {
	readonly outcome: Outcome;
	/** Error response for the caller if no upstream response was relayed. */
	readonly rejection: Rejection | undefined;
	/** Complete response to store for repeats; `undefined` if it must not be stored or exceeds `maxStoredBytes`. */
	readonly storedResponse: StoredResponse | undefined;
	readonly worker: string | undefined;
	readonly attempts: number;
	readonly hedges: number;
};

/** Dependencies of {@link Delivery}. */
export type DeliveryDeps = {
	readonly clock: Clock;
	readonly admission: Admission;
	readonly hostId: string;
	/** Maximum size of a stored response body, bytes. */
	readonly maxStoredBytes: number;
	/** Called when a worker reports that it shed a request. */
	readonly onShed: () => void;
	/** Called for each attempt after the first. */
	readonly onExtraAttempt: (ctx: RequestContext, kind: ExtraAttemptKind, placement: Placement, cause: string) => void;
};

/** Kind of an attempt after the first. */
export enum ExtraAttemptKind {
	Retry = 'retry',
	Hedge = 'hedge',
}

/** Number of attempts, hedges included, after which a request is not retried. */
const MAX_ATTEMPTS = 3;

/** Decides on the attempts of one request, the first, retries and hedges, until one has answered or none is left. */
export class Delivery implements AttemptListener {
	readonly #running: RunningAttempts;
	readonly #excludedWorkers = new Set<string>();
	readonly #attemptFactory: AttemptFactory;
	readonly #relay: ResponseRelay;
	/** Name of the worker whose response is passed on. */
	#worker: string | undefined;
	#attempts = 0;
	#hedges = 0;
	#mayHaveRun = false;
	#isFinished = false;
	readonly #cancellation = new Cancellation();
	/** Hedge timer, then deadline timer. */
	#timer: Timer | undefined;
	#resolve: (result: DeliveryResult) => void = () => {};

	/** @param storesResponse whether the response is stored for repeats; the run then continues if the caller disconnects. */
	constructor(
		private readonly deps: DeliveryDeps,
		private readonly ctx: RequestContext,
		private readonly attemptPolicy: AttemptPolicy,
		private readonly claims: readonly ResourceClaim[],
		body: Buffer | LongBody | undefined,
		private readonly storesResponse: boolean,
	) {
		this.#running = new RunningAttempts(deps);
		this.#attemptFactory = new AttemptFactory(deps, ctx, body);
		this.#relay = new ResponseRelay(ctx.res, {hostId: deps.hostId, maxStoredBytes: storesResponse ? deps.maxStoredBytes : 0});
	}

	/** Runs the request, starting at `placement`, until its final result. */
	async run(placement: Placement): Promise<DeliveryResult> {
		this.attemptPolicy.retryBudget.recordRequest();
		this.attemptPolicy.hedgeBudget.recordRequest();
		return new Promise(resolve => {
			this.#resolve = resolve;
			this.#startAttempt(placement);
			this.#startTimers();
		});
	}

	/** Aborts the request after its caller disconnected, unless the response is stored and the body is buffered. */
	handleCallerDisconnect(): void {
		if (this.#isFinished) {
			return;
		}

		if (this.storesResponse && !this.#attemptFactory.isBodyStreamed) {
			// The run continues so that a repeat can be answered.
			this.#relay.continueWithoutCaller();
			return;
		}

		this.#abort(RejectionCode.CallerLeft, 'the caller disconnected before the response was complete');
	}

	/** Aborts the request after its body stalled. */
	handleCallerStall(): void {
		if (!this.#isFinished) {
			this.#abort(RejectionCode.CallerStalled, 'the request body stalled; send it without pauses');
		}
	}

	onHead(attempt: Attempt, head: ResponseHead): void {
		const running = this.#running.get(attempt);
		if (!running || this.#isFinished) {
			return;
		}

		applyWorkerHeaders(running.placement.link, head.parsedHeaders, this.deps.clock.now());
		if (isShed(head)) {
			running.placement.link.recordShed();
			this.deps.onShed();
			this.#handleFailure(attempt, {
				code: RejectionCode.UpstreamShed, mayHaveRun: false, hadResponse: false, message: 'the worker shed the request',
			});
			attempt.cancel();
			return;
		}

		this.#acceptResponse(attempt, running, head);
	}

	onData(attempt: Attempt, chunk: Buffer): boolean {
		return this.#relay.write(attempt, chunk);
	}

	onEnd(attempt: Attempt): void {
		const running = this.#running.take(attempt);
		if (!running) {
			return;
		}

		const latencyMs = this.deps.clock.monotonic() - running.startedMs;
		running.placement.link.recordResponse(latencyMs);
		this.attemptPolicy.latency.record(latencyMs);
		this.#running.release(running);
		this.#relay.end();
		this.#finish(Outcome.Answered, undefined);
	}

	onFail(attempt: Attempt, failure: AttemptFailure): void {
		this.#handleFailure(attempt, failure);
	}

	#acceptResponse(attempt: Attempt, {placement}: RunningAttempt, head: ResponseHead): void {
		for (const other of this.#running.list()) {
			if (other !== attempt) {
				this.#running.cancel(other);
			}
		}

		this.#worker = placement.link.worker.name;
		this.#relay.begin(attempt, this.#worker, head);
	}

	#startAttempt(placement: Placement): void {
		const attempt = this.#attemptFactory.create(placement.link.worker.name, this);
		this.#running.add(attempt, placement);
		this.ctx.attempts.push(attempt);
		this.#attempts++;
		placement.link.begin();
		attempt.start(placement.link.pool);
	}

	#handleFailure(attempt: Attempt, failure: AttemptFailure): void {
		const running = this.#running.take(attempt);
		if (!running) {
			return;
		}

		const {link} = running.placement;
		this.#excludedWorkers.add(link.worker.name);
		this.#running.release(running);
		if (failure.code === RejectionCode.UpstreamUnreachable || failure.code === RejectionCode.UpstreamReset) {
			link.recordFailure();
		}

		this.#mayHaveRun ||= failure.mayHaveRun;
		if (this.#isFinished || this.#running.size > 0) {
			return;
		}

		if (failure.hadResponse) {
			this.#abortResponse(failure);
			return;
		}

		if (!this.#tryRetry(failure)) {
			this.#finish(this.#getOutcome(), this.#createRejection(failure));
		}
	}

	#abortResponse(failure: AttemptFailure): void {
		this.#relay.cut();
		this.#finish(Outcome.Unknown, rejectUnknown(failure.code, 502, failure.message));
	}

	#tryRetry(failure: AttemptFailure): boolean {
		const isAllowed = !failure.mayHaveRun || (this.ctx.repeat === RepeatPolicy.Idempotent && failure.code !== RejectionCode.UpstreamUnframed);
		const isPossible = this.#attempts < MAX_ATTEMPTS && this.#attemptFactory.canSendBody && this.#remainingMs > 0;
		if (!isAllowed || !isPossible || !this.attemptPolicy.retryBudget.tryConsume()) {
			return false;
		}

		const result = this.deps.admission.place(this.ctx, this.claims, this.#excludedWorkers);
		if (result.ok) {
			this.#startRetry(result.placement, failure);
		} else {
			void this.#waitAndRetry(failure);
		}

		return true;
	}

	#startRetry(placement: Placement, failure: AttemptFailure): void {
		this.deps.onExtraAttempt(this.ctx, ExtraAttemptKind.Retry, placement, failure.code);
		this.#startAttempt(placement);
	}

	/** Waits in the queue for a placement on any worker, including workers that failed before, and retries. */
	async #waitAndRetry(failure: AttemptFailure): Promise<void> {
		const result = await this.deps.admission.waitForPlacement(this.ctx, this.claims, this.#cancellation.signal);
		if (this.#isFinished) {
			if (result.ok) {
				result.placement.units.release();
			}

			return;
		}

		if (result.ok) {
			this.#startRetry(result.placement, failure);
		} else {
			this.#finish(this.#getOutcome(), this.#createRejection(failure));
		}
	}

	get #remainingMs(): number {
		return this.ctx.deadlineAtMs - this.deps.clock.monotonic();
	}

	/** Starts the hedge timer if a hedge is possible, otherwise the deadline timer. */
	#startTimers(): void {
		if (this.#isFinished) {
			return;
		}

		const remainingMs = Math.max(0, this.#remainingMs);
		const hedgeDelayMs = this.ctx.repeat === RepeatPolicy.Idempotent && !this.#attemptFactory.isBodyStreamed ? this.attemptPolicy.hedgeDelayMs : undefined;
		if (hedgeDelayMs === undefined || hedgeDelayMs >= remainingMs) {
			this.#startDeadlineTimer();
			return;
		}

		this.#timer = this.deps.clock.after(hedgeDelayMs, () => {
			this.#tryHedge(hedgeDelayMs);
			this.#startDeadlineTimer();
		});
	}

	#startDeadlineTimer(): void {
		this.#timer = this.deps.clock.after(Math.max(0, this.#remainingMs), () => {
			this.#abort(RejectionCode.UpstreamLate, 'the deadline passed before the response was complete');
		});
	}

	#tryHedge(delayMs: number): void {
		const isNeeded = !this.#isFinished && this.#relay.attempt === undefined && this.#running.size === 1;
		if (!isNeeded || !this.deps.admission.hasHeadroom(this.ctx.service.name) || !this.attemptPolicy.hedgeBudget.tryConsume()) {
			return;
		}

		const excluded = new Set([...this.#excludedWorkers, ...this.#running.listWorkers()]);
		const result = this.deps.admission.place(this.ctx, this.claims, excluded);
		if (!result.ok) {
			return;
		}

		this.#hedges++;
		this.deps.onExtraAttempt(this.ctx, ExtraAttemptKind.Hedge, result.placement, `no response after ${Math.round(delayMs)} ms`);
		this.#startAttempt(result.placement);
	}

	/** Cancels all running attempts and finishes the request. */
	#abort(code: RejectionCode, message: string): void {
		for (const attempt of this.#running.list()) {
			this.#mayHaveRun ||= attempt.wasSent;
			this.#running.cancel(attempt);
		}

		const hasResponseStarted = this.#relay.hasStarted;
		if (hasResponseStarted) {
			this.#relay.cut();
		}

		const status = code === RejectionCode.UpstreamLate ? 504 : 408;
		const outcome = hasResponseStarted ? Outcome.Unknown : this.#getOutcome();
		this.#finish(outcome, outcome === Outcome.NotRun ? rejectNotRun(code, status, message) : rejectUnknown(code, status, message));
	}

	#getOutcome(): Outcome {
		return this.#mayHaveRun ? Outcome.Unknown : Outcome.NotRun;
	}

	#createRejection({code, message}: AttemptFailure): Rejection {
		if (this.#mayHaveRun) {
			return rejectUnknown(code, 502, message);
		}

		const retryAfterMs = this.deps.admission.getQueue(this.ctx.service.name).expectedWaitMs;
		return rejectNotRun(code, 503, message, Math.max(100, retryAfterMs));
	}

	#finish(outcome: Outcome, rejection: Rejection | undefined): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		this.#cancellation.cancel();
		this.#timer?.cancel();
		this.#resolve({
			outcome,
			rejection,
			storedResponse: outcome === Outcome.Answered && this.storesResponse ? this.#relay.createStoredResponse() : undefined,
			worker: this.#worker,
			attempts: this.#attempts,
			hedges: this.#hedges,
		});
	}
}

/** Whether a response head reports that the worker did not run the request. */
function isShed({status, parsedHeaders}: ResponseHead): boolean {
	return (status === 503 || status === 429) && parsedHeaders[HeaderName.Outcome] === Outcome.NotRun;
}
