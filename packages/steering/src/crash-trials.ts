/** What hosts tell each other of the trials of a request. */
export type TrialReport = {
	/** Fingerprint of the request. */
	readonly request: string;
	/** Generation of the crashes that the trials are about. */
	readonly generation: number;
	/** Ids of the trials that have been sent to a worker. */
	readonly runs: readonly number[];
	/** Time until the next trial may be sent, ms. */
	readonly waitMs: number;
	/** Hash of the host whose turn it is; 0 if it is nobody's. */
	readonly turnHost: number;
	/** Time for which it is that host's turn, ms. */
	readonly turnMs: number;
	/** Whether there is evidence for the request. */
	readonly isDoubtful: boolean;
};

/** A host's turn to send a trial. Times are monotonic ms. */
type Turn = {
	readonly host: number;
	readonly sinceMs: number;
	readonly untilMs: number;
};

/** Number of trials of a request until it gets a response, over all hosts: the platform allows it three more arrivals. */
const MAX_TRIALS = 3;
/** Number of failed trials after which the evidence for a request is outweighed. */
const CONVINCING_TRIALS = 2;
/** Time from the last crash to the first trial of a request that nothing speaks for, ms. */
const FIRST_TRIAL_DELAY_MS = 1000;
/** Time from the first and the second trial to the next one, ms. */
const TRIAL_GAPS_MS: readonly number[] = [10_000, 10 * 60 * 1000];
/** Time from the first trial to the second one of a request that there is evidence for, ms. */
const DOUBTFUL_GAP_MS = 2000;
/** Time after the deadline of a trial for its crash to become known, ms. */
const TRIAL_MARGIN_MS = 500;
/** Time for which it is a host's turn, ms. */
const TURN_MS = 2000;
/** Time from which a turn holds, in which all hosts learn of it and of two at once one gives up, ms. */
const TURN_SETTLING_MS = 500;
/** Maximum number of trials that are kept of one request, as hosts that do not know of each other may send one each. */
const MAX_RUNS = 16;
/** Number of reports that include a change. */
const REPORTS_PER_CHANGE = 4;
/** Interval at which trials are reported without a change, ms. */
const REFRESH_INTERVAL_MS = 2000;

/**
 * Trials of one request that is held to crash workers: single runs that may show
 * that it does not. One host at a time has the turn to send one, and waits until
 * the others know that; of two hosts that take it at once, the one with the lower
 * hash keeps it.
 *
 * The runs are a set that hosts unite, so that trials sent by hosts that did not
 * know of each other count as well. Times are monotonic ms.
 */
export class CrashTrials {
	readonly #runs = new Set<number>();
	#notBeforeMs = Number.NEGATIVE_INFINITY;
	#turn: Turn | undefined;
	#isDoubtful: boolean;
	#remainingReports = 0;
	#reportedAtMs = Number.NEGATIVE_INFINITY;

	/** @param isDoubtful whether there is evidence for the request from the start. */
	constructor(isDoubtful: boolean) {
		this.#isDoubtful = isDoubtful;
	}

	/** Whether the evidence for the request outweighs that against it. */
	get isDoubtful(): boolean {
		return this.#isDoubtful && this.#runs.size < CONVINCING_TRIALS;
	}

	/** Number of trials that have been sent. */
	get count(): number {
		return this.#runs.size;
	}

	/** Records evidence for the request. @returns whether it is new. */
	recordDoubt(): boolean {
		if (this.#isDoubtful) {
			return false;
		}

		this.#isDoubtful = true;
		this.#change();
		return true;
	}

	/** Time from which the next trial may be sent, monotonic ms; never if there have been enough. */
	getNextMs(lastCrashAtMs: number): number {
		if (this.#runs.size >= MAX_TRIALS) {
			return Number.POSITIVE_INFINITY;
		}

		const firstMs = this.#runs.size > 0 || this.isDoubtful ? Number.NEGATIVE_INFINITY : lastCrashAtMs + FIRST_TRIAL_DELAY_MS;
		return Math.max(firstMs, this.#notBeforeMs);
	}

	/** Takes the turn to send a trial, unless it is another host's or too early. @returns the time from which it holds, monotonic ms. */
	takeTurn(host: number, lastCrashAtMs: number, nowMs: number): number | undefined {
		if (nowMs < this.getNextMs(lastCrashAtMs)) {
			return undefined;
		}

		if (!this.#turn || this.#turn.untilMs <= nowMs) {
			this.#turn = {host, sinceMs: nowMs, untilMs: nowMs + TURN_MS};
			this.#change();
		}

		return this.#turn.host === host ? this.#turn.sinceMs + TURN_SETTLING_MS : undefined;
	}

	/** Whether it is the host's turn, and all others have had the time to learn of it. */
	hasTurn(host: number, lastCrashAtMs: number, nowMs: number): boolean {
		const turn = this.#turn;
		return turn?.host === host && nowMs >= turn.sinceMs + TURN_SETTLING_MS && nowMs < turn.untilMs && nowMs >= this.getNextMs(lastCrashAtMs);
	}

	/** Records that this host sends a trial. @param deadlineAtMs deadline of the run, monotonic ms. */
	begin(run: number, deadlineAtMs: number, nowMs: number): void {
		const gapMs = this.#isDoubtful && this.#runs.size === 0 ? DOUBTFUL_GAP_MS : TRIAL_GAPS_MS[Math.min(this.#runs.size, TRIAL_GAPS_MS.length - 1)]!;
		this.#runs.add(run);
		this.#notBeforeMs = Math.max(this.#notBeforeMs, nowMs + gapMs, deadlineAtMs + TRIAL_MARGIN_MS);
		this.#turn = undefined;
		this.#change();
	}

	/** Records what a peer reports. @returns whether this changes what is known. */
	recordPeerReport({runs, waitMs, turnHost, turnMs, isDoubtful}: TrialReport, nowMs: number): boolean {
		const sizeBefore = this.#runs.size;
		for (const run of runs) {
			if (this.#runs.size < MAX_RUNS) {
				this.#runs.add(run);
			}
		}

		const hasNewRun = this.#runs.size > sizeBefore;
		const hasNewDoubt = isDoubtful && !this.#isDoubtful;
		this.#isDoubtful ||= isDoubtful;
		this.#notBeforeMs = Math.max(this.#notBeforeMs, waitMs > 0 ? nowMs + waitMs : Number.NEGATIVE_INFINITY);
		if (hasNewRun) {
			this.#turn = undefined;
		}

		const hasNewTurn = runs.length === this.#runs.size && turnMs > 0 && this.#recordPeerTurn({host: turnHost, sinceMs: nowMs, untilMs: nowMs + turnMs}, nowMs);
		const hasChanged = hasNewRun || hasNewDoubt || hasNewTurn;
		if (hasChanged) {
			this.#change();
		}

		return hasChanged;
	}

	/** Takes what peers are to be told now, without the request; `undefined` if there is nothing to tell. */
	takeReport(nowMs: number): Omit<TrialReport, 'request' | 'generation'> | undefined {
		const isRefreshDue = (this.#runs.size > 0 || this.#isDoubtful) && nowMs - this.#reportedAtMs >= REFRESH_INTERVAL_MS;
		if (this.#remainingReports === 0 && !isRefreshDue) {
			return undefined;
		}

		this.#remainingReports = Math.max(0, this.#remainingReports - 1);
		this.#reportedAtMs = nowMs;
		return this.describe(nowMs);
	}

	/** Returns what is known, without the request. */
	describe(nowMs: number): Omit<TrialReport, 'request' | 'generation'> {
		return {
			runs: [...this.#runs],
			waitMs: Math.max(0, Number.isFinite(this.#notBeforeMs) ? this.#notBeforeMs - nowMs : 0),
			turnHost: this.#turn?.host ?? 0,
			turnMs: Math.max(0, (this.#turn?.untilMs ?? nowMs) - nowMs),
			isDoubtful: this.#isDoubtful,
		};
	}

	/** @returns whether the peer's turn replaces the known one. */
	#recordPeerTurn(turn: Turn, nowMs: number): boolean {
		const known = this.#turn;
		if (known && known.untilMs > nowMs && known.host <= turn.host) {
			return false;
		}

		this.#turn = turn;
		return true;
	}

	/** Makes what is known due to be reported, if there is anything. */
	repeatReport(): void {
		if (this.#runs.size > 0 || this.#isDoubtful) {
			this.#change();
		}
	}

	#change(): void {
		this.#remainingReports = REPORTS_PER_CHANGE;
	}
}
