import {sleep, type Clock, type Random} from '@apricotwood/clock';
import {
	CrashVerdict, SUSPECT_CRASHES, type CrashTracker, type Worker,
} from '@apricotwood/steering';
import {hashText} from '@apricotwood/routing';
import type {Log} from '@apricotwood/telemetry';
import type {RequestFingerprint} from './fingerprint.js';
import {RejectionCode, createNotRunRejection, type Rejection} from './rejection.js';
import {ServedRequests} from './served-requests.js';

/** A request in progress that the guard may stop. */
export interface GuardedRequest {
	readonly fingerprint: RequestFingerprint;
	/** Ends the request: it waits no longer, and an attempt in progress is cancelled. */
	stop(): void;
}

/** Keeps the histories of requests that crash workers. */
export interface CrashHistoryKeeper {
	/** Records that this host has seen a crash, a trial or a response of requests itself. */
	recordOwn(requests: readonly string[]): void;
	/** Records that something is known of requests now that other hosts may have seen. */
	recordKnown(requests: readonly string[]): void;
}

/** Dependencies of `CrashGuard`. */
export type CrashGuardDeps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly crashes: CrashTracker;
	/** Hash of this host's id. */
	readonly hostHash: number;
	/** Whether this host reaches workers, so that it may send trials. */
	readonly canSendTrials: () => boolean;
	/** Called when what is known of crashes has changed, so that the peers are told. */
	readonly onChange: () => void;
	readonly archive: CrashHistoryKeeper;
};

/** `Retry-After` of a suspect while another copy of it is in progress, ms. */
const SUSPECT_RETRY_AFTER_MS = 300;

/** Keeps requests that crash workers from being sent to further ones, but for trials that may show that they do not. */
export class CrashGuard {
	readonly #inProgress = new Set<GuardedRequest>();
	/** Requests that are sent as trials, by fingerprint. */
	readonly #trials = new Map<string, GuardedRequest>();
	readonly #served = new ServedRequests();
	/** Quarantined requests as of the last change, to tell new ones. */
	#quarantined: ReadonlySet<string> = new Set();

	constructor(private readonly deps: CrashGuardDeps) {}

	/** Admits a request, until `leave`. Of a suspect only one copy at a time is admitted, and of a request that needs a trial one over all hosts. @returns the rejection if it is not admitted. */
	async enter(req: GuardedRequest): Promise<Rejection | undefined> {
		const rejection = this.#check(req);
		if (rejection) {
			return rejection;
		}

		this.#inProgress.add(req);
		return this.#needsTrial(req) ? this.#awaitTurn(req) : undefined;
	}

	leave(req: GuardedRequest): void {
		this.#inProgress.delete(req);
		if (this.#isTrial(req)) {
			this.#trials.delete(req.fingerprint.value);
		}
	}

	/** Whether a request that was admitted may still be sent to a worker. @returns the rejection if not. */
	checkAttempt(req: GuardedRequest): Rejection | undefined {
		const {crashes, clock, hostHash} = this.deps;
		if (!this.#needsTrial(req) || (this.#isTrial(req) && crashes.hasTurn(req.fingerprint.value, hostHash, clock.monotonic()))) {
			return undefined;
		}

		return this.#createRejection(req.fingerprint);
	}

	/** Begins to send a request to a worker; a trial counts from here on. @param deadlineAtMs deadline of the request, monotonic ms. @returns whether it may be sent. */
	beginAttempt(req: GuardedRequest, deadlineAtMs: number): boolean {
		const {crashes, clock, random, log, archive, onChange} = this.deps;
		if (this.checkAttempt(req)) {
			return false;
		}

		if (this.#needsTrial(req)) {
			const {value} = req.fingerprint;
			crashes.beginTrial(value, Math.floor(random.next() * (2 ** 32)), deadlineAtMs, clock.monotonic());
			log.warn({event: 'crash-trial', fingerprint: value, trials: crashes.countTrials(value)});
			archive.recordOwn([value]);
			onChange();
		}

		return true;
	}

	/** Whether a request may be sent to another worker after its attempts have broken. @param brokenAttempts number of its attempts that ended without a response. */
	canRetry({fingerprint}: GuardedRequest, brokenAttempts: number): boolean {
		return brokenAttempts === 0 || this.deps.crashes.countCrashes(fingerprint.value) + brokenAttempts < SUSPECT_CRASHES;
	}

	/** Records that a worker crashed. @param fingerprints requests that ran there. */
	recordCrash({registration: {id, bornMs}}: Worker, fingerprints: readonly string[]): void {
		const {crashes, clock, archive, onChange} = this.deps;
		const worker = hashText(`${id} ${bornMs}`);
		const changed = fingerprints.filter(fingerprint => crashes.recordCrash(fingerprint, worker, clock.monotonic()));
		if (changed.length > 0) {
			archive.recordOwn(changed);
			this.refresh(changed);
			onChange();
		}
	}

	/** Records that a worker has run a request and responded. */
	recordResponse(fingerprint: RequestFingerprint): void {
		const {crashes, clock, log, archive, onChange} = this.deps;
		const nowMs = clock.monotonic();
		this.#served.record(fingerprint, nowMs);
		if (!crashes.isEmpty && crashes.recordResponse(fingerprint.value, nowMs)) {
			log.info({event: 'crash-suspect', fingerprint: fingerprint.value, verdict: CrashVerdict.Clear});
			archive.recordOwn([fingerprint.value]);
			onChange();
		}
	}

	/** Applies changes of what is known: logs the verdicts, and stops what is quarantined now. @param fingerprints requests with changes. */
	refresh(fingerprints: readonly string[]): void {
		const {crashes, clock, log, archive} = this.deps;
		const nowMs = clock.monotonic();
		archive.recordKnown(fingerprints);
		for (const fingerprint of fingerprints) {
			if (this.#served.has(fingerprint, nowMs)) {
				crashes.recordServedBefore(fingerprint);
			}

			const verdict = crashes.classify(fingerprint, nowMs);
			if (verdict !== CrashVerdict.Clear) {
				log.warn({
					event: 'crash-suspect', fingerprint, verdict, crashes: crashes.countCrashes(fingerprint),
				});
			}
		}

		const quarantined = new Set(crashes.listQuarantined(nowMs));
		const added = new Set([...quarantined].filter(fingerprint => !this.#quarantined.has(fingerprint)));
		this.#quarantined = quarantined;
		if (added.size === 0) {
			return;
		}

		for (const req of this.#inProgress) {
			if (added.has(req.fingerprint.value) && !this.#isTrial(req)) {
				req.stop();
			}
		}
	}

	#check(req: GuardedRequest): Rejection | undefined {
		const {crashes, clock} = this.deps;
		if (crashes.isEmpty) {
			return undefined;
		}

		const {fingerprint} = req;
		if (crashes.needsTrial(fingerprint.value)) {
			return this.#canTakeTurn(fingerprint.value) ? undefined : this.#createRejection(fingerprint);
		}

		const isSuspect = crashes.classify(fingerprint.value, clock.monotonic()) === CrashVerdict.Suspect;
		const isRunning = isSuspect && [...this.#inProgress].some(other => other.fingerprint.value === fingerprint.value);
		return isRunning ? createSuspectRejection(fingerprint) : undefined;
	}

	#needsTrial({fingerprint}: GuardedRequest): boolean {
		const {crashes} = this.deps;
		return !crashes.isEmpty && crashes.needsTrial(fingerprint.value);
	}

	#isTrial(req: GuardedRequest): boolean {
		return this.#trials.size > 0 && this.#trials.get(req.fingerprint.value) === req;
	}

	#canTakeTurn(fingerprint: string): boolean {
		const {crashes, clock, hostHash, canSendTrials} = this.deps;
		return canSendTrials() && !this.#trials.has(fingerprint) && crashes.takeTurn(fingerprint, hostHash, clock.monotonic()) !== undefined;
	}

	/** Tells the other hosts that this one is to send a trial, and waits until they know. @returns the rejection if it is another host's turn. */
	async #awaitTurn(req: GuardedRequest): Promise<Rejection | undefined> {
		const {crashes, clock, hostHash, onChange} = this.deps;
		const {value} = req.fingerprint;
		this.#trials.set(value, req);
		onChange();
		const fromMs = crashes.takeTurn(value, hostHash, clock.monotonic());
		if (fromMs !== undefined) {
			await sleep(clock, Math.max(0, fromMs - clock.monotonic()));
		}

		const rejection = this.checkAttempt(req);
		if (rejection) {
			this.leave(req);
		}

		return rejection;
	}

	#createRejection(fingerprint: RequestFingerprint): Rejection {
		const {crashes, clock} = this.deps;
		const isQuarantined = crashes.classify(fingerprint.value, clock.monotonic()) === CrashVerdict.Quarantined;
		return isQuarantined ? createQuarantineRejection(fingerprint) : createSuspectRejection(fingerprint);
	}
}

function createSuspectRejection({value}: RequestFingerprint): Rejection {
	return createNotRunRejection(RejectionCode.Suspect, `workers crashed while they ran this request (${value}), and another copy of it is in progress`, SUSPECT_RETRY_AFTER_MS);
}

/** Has no `Retry-After`: the request would be rejected again. */
export function createQuarantineRejection({value}: RequestFingerprint): Rejection {
	return {code: RejectionCode.Quarantined, status: 503, message: `workers crashed while they ran this request (${value}), so it is not sent to further ones`};
}
