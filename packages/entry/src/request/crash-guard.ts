import type {Clock} from '@apricotwood/clock';
import {
	CrashVerdict, SUSPECT_CRASHES, type CrashTracker, type Worker,
} from '@apricotwood/steering';
import {hashText} from '@apricotwood/routing';
import type {Log} from '@apricotwood/telemetry';
import type {RequestFingerprint} from './fingerprint.js';
import {RejectionCode, createNotRunRejection, type Rejection} from './rejection.js';

/** A request in progress that the guard may stop. */
export interface GuardedRequest {
	readonly fingerprint: RequestFingerprint;
	/** Ends the request: it waits no longer, and an attempt in progress is cancelled. */
	stop(): void;
}

/** Dependencies of `CrashGuard`. */
export type CrashGuardDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly crashes: CrashTracker;
	/** Called when what is known of crashes has changed, so that the peers are told. */
	readonly onChange: () => void;
};

/** `Retry-After` of a suspect while another copy of it is in progress, ms. */
const SUSPECT_RETRY_AFTER_MS = 300;

/** Keeps requests that crash workers from being sent to further ones. */
export class CrashGuard {
	readonly #inProgress = new Set<GuardedRequest>();
	/** Quarantined requests as of the last change, to tell new ones. */
	#quarantined: ReadonlySet<string> = new Set();

	constructor(private readonly deps: CrashGuardDeps) {}

	/** Admits a request, until `leave`. Of a suspect only one copy at a time is admitted. @returns the rejection if it is not admitted. */
	enter(req: GuardedRequest): Rejection | undefined {
		const rejection = this.#check(req);
		if (!rejection) {
			this.#inProgress.add(req);
		}

		return rejection;
	}

	leave(req: GuardedRequest): void {
		this.#inProgress.delete(req);
	}

	/** Whether a request may be sent to another worker after its attempts have broken. @param brokenAttempts number of its attempts that ended without a response. */
	canRetry({fingerprint}: GuardedRequest, brokenAttempts: number): boolean {
		return brokenAttempts === 0 || this.deps.crashes.countCrashes(fingerprint.value) + brokenAttempts < SUSPECT_CRASHES;
	}

	/** Records that a worker crashed. @param fingerprints requests that ran there. */
	recordCrash({registration: {id, bornMs}}: Worker, fingerprints: readonly string[]): void {
		const {crashes, clock, onChange} = this.deps;
		const worker = hashText(`${id} ${bornMs}`);
		const changed = fingerprints.filter(fingerprint => crashes.recordCrash(fingerprint, worker, clock.monotonic()));
		if (changed.length > 0) {
			this.refresh(changed);
			onChange();
		}
	}

	/** Records that a worker has run a request and responded. */
	recordResponse(fingerprint: RequestFingerprint): void {
		const {crashes, clock, log} = this.deps;
		if (!crashes.isEmpty && crashes.recordResponse(fingerprint.value, clock.monotonic())) {
			log.info({event: 'crash-suspect', fingerprint: fingerprint.value, verdict: CrashVerdict.Clear});
		}
	}

	/** Applies changes of what is known: logs the verdicts, and stops what is quarantined now. @param fingerprints requests with changes. */
	refresh(fingerprints: readonly string[]): void {
		const {crashes, clock, log} = this.deps;
		const nowMs = clock.monotonic();
		for (const fingerprint of fingerprints) {
			const verdict = crashes.classify(fingerprint, nowMs);
			if (verdict !== CrashVerdict.Clear) {
				log.warn({
					event: 'crash-suspect', fingerprint, verdict, crashes: crashes.countCrashes(fingerprint),
				});
			}
		}

		const quarantined = new Set(crashes.listQuarantined(nowMs));
		const hasNew = [...quarantined].some(fingerprint => !this.#quarantined.has(fingerprint));
		this.#quarantined = quarantined;
		if (!hasNew) {
			return;
		}

		for (const req of this.#inProgress) {
			if (quarantined.has(req.fingerprint.value)) {
				req.stop();
			}
		}
	}

	#check({fingerprint}: GuardedRequest): Rejection | undefined {
		const {crashes, clock} = this.deps;
		if (crashes.isEmpty) {
			return undefined;
		}

		const {value} = fingerprint;
		switch (crashes.classify(value, clock.monotonic())) {
			case CrashVerdict.Quarantined: {
				return createQuarantineRejection(fingerprint);
			}

			case CrashVerdict.Suspect: {
				const isRunning = [...this.#inProgress].some(req => req.fingerprint.value === value);
				const message = `workers crashed while they ran this request (${value}), and another copy of it is in progress`;
				return isRunning ? createNotRunRejection(RejectionCode.Suspect, message, SUSPECT_RETRY_AFTER_MS) : undefined;
			}

			case CrashVerdict.Clear: {
				return undefined;
			}
		}
	}
}

/** Has no `Retry-After`: the request would be rejected again. */
export function createQuarantineRejection({value}: RequestFingerprint): Rejection {
	return {code: RejectionCode.Quarantined, status: 503, message: `workers crashed while they ran this request (${value}), so it is not sent to further ones`};
}
