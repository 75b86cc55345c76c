import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RequestHolding} from '@apricotwood/admission';
import {
	RequestKind, computeWaitUntilMs, hashObject, type Placement, type Route,
} from '@apricotwood/steering';
import type {RequestMetadata} from '../dialect.js';
import {ExchangeEnd, type ExchangeResult} from '../upstream/response.js';
import {AttemptSender, UNSENT_ENDS} from './attempt.js';
import {BodyReadResult, type RequestBody} from './body.js';
import {BodyReceiver} from './body-receiver.js';
import {CallerConnection} from './caller-connection.js';
import {createQuarantineRejection, type GuardedRequest} from './crash-guard.js';
import {RequestFingerprint} from './fingerprint.js';
import {REACHED_WORKER_HEADER} from './headers.js';
import {PlacementWaiter} from './placement-waiter.js';
import {
	RejectionCode, createEvictionRejection, createUnknownOutcomeRejection, type Rejection,
} from './rejection.js';
import {ANSWERED_CODE, logRequestEnd, type EndedRequest} from './request-log.js';
import {computeTiming, type RequestTiming} from './request-timing.js';
import {isPeerRejection, shouldForward} from './response-selection.js';
import {ResponseWriter} from './response-writer.js';
import type {SessionDeps} from './session-deps.js';
import {SessionRejections} from './session-rejections.js';

/** Shortest remaining time in which a retry is still sent, ms. */
const MIN_ATTEMPT_MS = 20;
/** Result when no other host has received a request that was to be passed on. */
const NOT_FORWARDED = Symbol('not forwarded');

/** Proxies one request of a caller: chooses workers, retries within the budget and forwards the response. */
export class Session {
	readonly #timing: RequestTiming;
	readonly #service: string;
	readonly #object: number | undefined;
	readonly #excludedWorkers = new Set<string>();
	readonly #caller: CallerConnection;
	readonly #writer: ResponseWriter;
	readonly #waiter: PlacementWaiter;
	readonly #rejections: SessionRejections;
	readonly #bodyReceiver: BodyReceiver;
	#sender: AttemptSender | undefined;
	#fingerprint: RequestFingerprint | undefined;
	/** Why the request was stopped before it had a response. */
	#stopReason: Rejection | undefined;
	#isCut = false;
	#isFinished = false;

	constructor(
		private readonly deps: SessionDeps,
		private readonly req: IncomingMessage,
		private readonly res: ServerResponse,
		private readonly route: Route,
		private readonly metadata: RequestMetadata,
		/** Whether another host has passed the request on to this one. */
		private readonly isForwarded: boolean,
		/** Counts what the request makes this host hold. */
		private readonly holding: RequestHolding,
	) {
		const {trafficSplitter, random} = deps;
		this.#caller = new CallerConnection(req, res);
		this.#writer = new ResponseWriter(res, deps.isLeaving, holding);
		this.#timing = computeTiming(deps, route, metadata);
		const {startAtMs, deadlineAtMs, targetAtMs, isCallerRetry} = this.#timing;
		this.#bodyReceiver = new BodyReceiver(deps, req, holding, deadlineAtMs);
		this.#rejections = new SessionRejections(deps, {route, metadata, startAtMs});
		const randomKey = Math.floor(random.next() * (2 ** 32));
		this.#service = trafficSplitter.chooseService(route, metadata.object, random.next());
		this.#object = route.hasAffinity && metadata.object !== undefined ? hashObject(route, this.#service, metadata.object) : undefined;
		this.#waiter = new PlacementWaiter(deps, {
			route,
			service: this.#service,
			objectHash: this.#object,
			randomKey,
			excludedIds: this.#excludedWorkers,
			targetAtMs,
			deadlineAtMs,
			isCallerRetry,
			waitUntilMs: computeWaitUntilMs(startAtMs, deadlineAtMs),
		});
	}

	/** Runs until the request has ended. Failures of workers and callers are handled here; the promise rejects only on an unexpected exception. */
	async run(): Promise<void> {
		const {retryBudget, clock} = this.deps;
		this.#caller.watch(() => {
			this.#onCallerLeft();
		});
		this.holding.onEvict = reason => {
			this.#stop(createEvictionRejection(reason));
			return !this.res.headersSent;
		};

		const {body, rejection} = await this.#bodyReceiver.receive();
		if (rejection) {
			this.#finish(rejection);
			return;
		}

		try {
			await this.#caller.detectDeparture();
			if (!this.isForwarded) {
				retryBudget.recordRequest(this.#service, clock.monotonic());
			}

			this.#finish(this.#caller.hasLeft ? undefined : await this.#serve(body));
		} finally {
			body?.rest?.release();
		}
	}

	/** Serves the request unless it is known to crash workers. @returns as `#tryWorkers`. */
	async #serve(body: RequestBody | undefined): Promise<Rejection | undefined> {
		const {crashGuard} = this.deps;
		const fingerprint = new RequestFingerprint(this.req, body);
		this.#fingerprint = fingerprint;
		const guarded: GuardedRequest = {
			fingerprint,
			stop: () => {
				this.#stop(createQuarantineRejection(fingerprint));
			},
		};
		const rejection = await crashGuard.enter(guarded);
		if (rejection) {
			return rejection;
		}

		this.#sender = this.#createSender(body, guarded);
		try {
			return await this.#tryWorkersOrPeers(body, this.#sender, guarded);
		} finally {
			crashGuard.leave(guarded);
		}
	}

	/** Passes the request on to another host if this one reaches no worker that could take it. @returns as `#tryWorkers`. */
	async #tryWorkersOrPeers(body: RequestBody | undefined, sender: AttemptSender, guarded: GuardedRequest): Promise<Rejection | undefined> {
		const {forwarder} = this.deps;
		if (forwarder.isNeeded) {
			const outcome = await this.#tryPeers(body, sender);
			if (outcome !== NOT_FORWARDED) {
				return outcome;
			}
		}

		const rejection = await this.#tryWorkers(body, sender, guarded);
		const isOver = !rejection || sender.mayHaveRun || this.#caller.hasLeft || this.#stopReason !== undefined || this.#remainingMs < MIN_ATTEMPT_MS;
		const isBodyTaken = body?.rest?.isUntaken === false;
		if (isOver || isBodyTaken || !forwarder.canHelp(rejection, this.#service)) {
			return rejection;
		}

		const outcome = await this.#tryPeers(body, sender);
		return outcome === NOT_FORWARDED ? rejection : outcome;
	}

	/** @returns as `#tryWorkers`, or `NOT_FORWARDED` if no host has received the request. */
	async #tryPeers(body: RequestBody | undefined, sender: AttemptSender): Promise<Rejection | typeof NOT_FORWARDED | undefined> {
		if (this.isForwarded) {
			return NOT_FORWARDED;
		}

		const forwardable = {route: this.route, service: this.#service, deadlineAtMs: this.#timing.deadlineAtMs};
		const result = await this.deps.forwarder.forward(forwardable, sender, body?.result !== BodyReadResult.Unbuffered);
		if (!result) {
			return NOT_FORWARDED;
		}

		const {end, head, body: responseBody} = result;
		if (end === ExchangeEnd.Answered && head && (head.metadata.isSigned || isPeerRejection(head)) && !this.#writer.isClosed) {
			this.#writer.send(head, responseBody);
			return undefined;
		}

		return this.#forwardResponse(result, sender) ? undefined : this.#createFailure(result, sender);
	}

	/** @returns the rejection to send to the caller; `undefined` if a worker's response has been forwarded, or the caller's connection was reset or has closed. */
	async #tryWorkers(body: RequestBody | undefined, sender: AttemptSender, guarded: GuardedRequest): Promise<Rejection | undefined> {
		const isStreaming = body?.result === BodyReadResult.Unbuffered;
		const maxAttempts = isStreaming ? 1 : this.route.maxAttempts;
		let failure: Rejection | undefined;
		for (let sentCount = 0; sentCount < maxAttempts;) {
			const placement = await this.#awaitPlacement(); // eslint-disable-line no-await-in-loop
			if (this.#stopReason) {
				return failure ?? this.#stopReason;
			}

			if (!placement) {
				return {code: RejectionCode.CallerLeft, status: 499, message: 'caller left before the request was sent'};
			}

			const {worker} = placement;
			if (!worker) {
				return this.#rejections.rejectPlacement(placement, failure, sender.mayHaveRun);
			}

			const rejection = this.deps.crashGuard.checkAttempt(guarded);
			if (rejection) {
				return failure ?? rejection;
			}

			if (!sender.takeRetry()) {
				return failure;
			}

			const result = await sender.send(worker, placement); // eslint-disable-line no-await-in-loop
			sentCount += UNSENT_ENDS.has(result.end) ? 0 : 1;
			const isDone = this.#forwardResponse(result, sender);
			if (isDone) {
				return undefined;
			}

			failure = this.#createFailure(result, sender);
			if (!this.#canRetry(result, sender, guarded)) {
				return failure;
			}

			// A worker that sheds a request although it should have a free slot may accept the next one, so it stays eligible.
			const hadFreeSlot = result.head?.metadata.isNotRun === true && !result.head.metadata.isOtherWorker && placement.load < worker.registration.slots;
			if (!hadFreeSlot) {
				this.#excludedWorkers.add(worker.registration.id);
			}
		}

		return failure;
	}

	/** Whether another attempt may follow a failed one. */
	#canRetry({end}: ExchangeResult, sender: AttemptSender, guarded: GuardedRequest): boolean {
		if (end === ExchangeEnd.Unreachable && this.deps.forwarder.isDoubtful && !this.isForwarded) {
			return false;
		}

		const isRepeatable = !sender.mayHaveRun || (this.route.kind === RequestKind.Idempotent && this.deps.crashGuard.canRetry(guarded, sender.brokenAttempts));
		// `#tryWorkers` does not count attempts that sent nothing, so the number of all attempts is bounded here: at most `maxAttempts` + 3.
		return isRepeatable && !this.#caller.hasLeft && this.#remainingMs >= MIN_ATTEMPT_MS && sender.records.length <= this.route.maxAttempts + 2;
	}

	#createSender(body: RequestBody | undefined, guarded: GuardedRequest): AttemptSender {
		return new AttemptSender(this.deps, {
			req: this.req, body, route: this.route, service: this.#service, object: this.#object, metadata: this.metadata, guarded, startAtMs: this.#timing.startAtMs, deadlineAtMs: this.#timing.deadlineAtMs,
		}, this.#writer);
	}

	get #remainingMs(): number {
		return this.#timing.deadlineAtMs - this.deps.clock.monotonic();
	}

	/** Chooses a worker for the next attempt. @returns `undefined` if the caller has left or the request was stopped. */
	async #awaitPlacement(): Promise<Placement | undefined> {
		const isRetry = this.#sender !== undefined && this.#sender.records.length > 0;
		if (isRetry) {
			await this.#caller.detectDeparture();
		}

		return this.#waiter.place();
	}

	/**
	 * Forwards a worker's response to the caller. A response is withheld if the
	 * request should be retried, or if it must not reach the caller: unsigned, from
	 * another worker, or stating that the request has not run.
	 * @returns whether the request has ended; otherwise it has to be retried or rejected.
	 */
	#forwardResponse(result: ExchangeResult, sender: AttemptSender): boolean {
		const {end, head, body} = result;
		if (end === ExchangeEnd.Streamed) {
			this.#writer.end();
			return true;
		}

		if (end === ExchangeEnd.Truncated) {
			this.#writer.cut();
			return true;
		}

		if (end !== ExchangeEnd.Answered || !head || this.#writer.isClosed) {
			return this.#writer.isClosed;
		}

		// Counts all attempts, also those without a connection, which `#tryWorkers` does not count.
		const canRetry = this.route.kind === RequestKind.Idempotent && sender.records.length < this.route.maxAttempts && this.#remainingMs > sender.estimateServiceMs(false);
		if (!shouldForward(head, {mayHaveRun: sender.mayHaveRun, canRetry})) {
			return false;
		}

		this.#writer.send(head, body);
		return true;
	}

	#createFailure(result: ExchangeResult, {mayHaveRun}: AttemptSender): Rejection {
		return this.#stopReason && mayHaveRun ? createUnknownOutcomeRejection(RejectionCode.Unknown, this.#stopReason.message) : this.#rejections.createFailure(result, mayHaveRun);
	}

	/** Ends the request with a rejection: it waits no longer, and an attempt in progress is cancelled. */
	#stop(reason: Rejection): void {
		this.#stopReason = reason;
		this.#bodyReceiver.stop(reason);
		this.#waiter.stop();
		this.#sender?.cancel();
	}

	#onCallerLeft(): void {
		this.#waiter.stop();
		this.#sender?.cancel();
	}

	/** Ends the request as this host ends: what follows is not logged. @returns whether it had finished, and its line was logged, before. */
	cut(): boolean {
		this.#isCut = true;
		return this.#isFinished;
	}

	/** Logs that this host ended before the request had finished; attempts without an end are in progress. */
	logCut(): void {
		this.#log(RejectionCode.Cut, 'this host ended before the response');
	}

	#finish(rejection: Rejection | undefined): void {
		if (this.#isCut) {
			return;
		}

		this.#isFinished = true;
		if (rejection && !this.#caller.hasLeft) {
			this.#tellWhetherSent();
			this.#writer.reject(rejection);
		}

		if (rejection?.code === RejectionCode.Stopping) {
			this.deps.shutdownReport.recordRejection();
		}

		this.#log(this.#caller.hasLeft ? RejectionCode.CallerLeft : (rejection?.code ?? ANSWERED_CODE), rejection?.message);
	}

	/** Tells the host that has passed the request on whether sending it once more would be a repeat. */
	#tellWhetherSent(): void {
		if (this.isForwarded && this.#sender?.hasReachedWorker && !this.res.headersSent) {
			this.res.setHeader(REACHED_WORKER_HEADER, '1');
		}
	}

	#log(code: EndedRequest['code'], message: string | undefined): void {
		logRequestEnd(this.deps, {
			code,
			message,
			route: this.route,
			service: this.#service,
			metadata: this.metadata,
			isForwarded: this.isForwarded,
			startAtMs: this.#timing.startAtMs,
			targetAtMs: this.#timing.targetAtMs,
			queuedMs: this.#waiter.queuedMs,
			status: this.#writer.status,
			sender: this.#sender,
			fingerprint: this.#fingerprint,
		});
	}
}
