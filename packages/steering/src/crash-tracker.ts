import {CrashTrials, type TrialReport} from './crash-trials.js';

/** What a host knows of a request that was running at workers when they crashed. */
export type CrashReport = {
	/** Fingerprint of the request, the same whenever it comes again. */
	readonly request: string;
	/** Number of responses that have cleared the request so far; the higher generation is the later one. */
	readonly generation: number;
	/** Workers that crashed while they ran the request, as hashes of their id and start. */
	readonly workers: readonly number[];
	/** Time since the last of these crashes, ms. */
	readonly ageMs: number;
};

/** All that a host knows of a request that may crash workers. */
export type CrashHistory = {
	readonly crashes: CrashReport;
	readonly trials: TrialReport;
};

/** Whether a request may be sent to workers. */
export enum CrashVerdict {
	Clear = 'clear',
	/** Probably the cause of crashes: one more run decides. */
	Suspect = 'suspect',
	/** Must not be sent to any worker, but for trials. */
	Quarantined = 'quarantined',
}

type CrashRecord = {
	readonly request: string;
	generation: number;
	readonly workers: Set<number>;
	/** Trials since the last response. */
	trials: CrashTrials;
	/** Monotonic ms. */
	lastCrashAtMs: number;
	/** Number of further reports that include the record. */
	remainingReports: number;
	reportedAtMs: number;
};

/** Number of crashes from which a request is a suspect. */
export const SUSPECT_CRASHES = 2;
/** Number of crashes from which a request is sent to workers in trials only, and quarantined unless there is evidence for it. */
const QUARANTINE_CRASHES = 3;
/** Longest time between two reports of the same crash, ms. */
const SAME_CRASH_MS = 1000;
/** Duration of the quarantine, ms; doubles with each further crash. Afterwards the request is a suspect again. */
const QUARANTINE_MS = 10 * 60 * 1000;
/** Time since the last crash after which a request is forgotten, as a multiple of its quarantine. */
const RETENTION_FACTOR = 2;
/** Time for which a cleared request is remembered, so that late reports of earlier crashes are ignored, ms. */
const CLEARED_RETENTION_MS = 10_000;
/** Maximum number of workers that are recorded for one request. */
const MAX_WORKERS = 8;
/** Maximum number of requests; those with the fewest crashes are dropped first. */
const MAX_RECORDS = 256;
/** Number of reports that include a change. */
const REPORTS_PER_CHANGE = 4;
/** Interval at which suspects are reported without a change, for hosts that have started or missed the change, ms. */
const REFRESH_INTERVAL_MS = 2000;
/** Maximum number of requests in one report. */
const MAX_REPORTED = 16;

/**
 * Finds the requests that crash the workers which run them ("query of death").
 *
 * A crash fails all requests at the worker, so a single one shows little. The
 * cause is there at the next crash as well and never gets a response, whereas any
 * response clears a request. A crash does not count against a request if a
 * quarantined one, which has caused more crashes, was at that worker too.
 *
 * Workers may also end together of another cause, under whatever is popular. That
 * speaks for a request: it got responses shortly before, it got one after earlier
 * crashes, or another request was at the same crashes. It then stays a suspect, so
 * that copies in progress may go on and clear it. In either case it is sent on in
 * trials only (`CrashTrials`), whose number does not depend on the evidence.
 *
 * Hosts merge what they know: the workers of one generation are united, and the
 * higher generation wins, so reports can be repeated, lost or out of order. Times
 * are monotonic ms.
 */
export class CrashTracker {
	readonly #records = new Map<string, CrashRecord>();

	/** Whether no request has been at a crash, as nearly always. */
	get isEmpty(): boolean {
		return this.#records.size === 0;
	}

	/** Records that a worker crashed while it ran the request. @returns whether this changes what is known. */
	recordCrash(request: string, worker: number, nowMs: number): boolean {
		const record = this.#getOrCreate(request, nowMs);
		if (record.workers.has(worker) || record.workers.size >= MAX_WORKERS) {
			return false;
		}

		record.workers.add(worker);
		record.lastCrashAtMs = nowMs;
		record.remainingReports = REPORTS_PER_CHANGE;
		return true;
	}

	/** Records that a worker has run the request and responded. @returns whether this clears it of crashes. */
	recordResponse(request: string, nowMs: number): boolean {
		const record = this.#records.get(request);
		if (!record || record.workers.size === 0) {
			return false;
		}

		record.generation++;
		record.workers.clear();
		record.trials = new CrashTrials(true);
		record.lastCrashAtMs = nowMs;
		record.remainingReports = REPORTS_PER_CHANGE;
		return true;
	}

	/** Records what a peer reports. @returns whether this changes what is known. */
	recordPeerReport({request, generation, workers, ageMs}: CrashReport, nowMs: number): boolean {
		const known = this.#records.get(request);
		if (known && generation < known.generation) {
			// The peer has missed that the request was cleared.
			known.remainingReports = Math.max(1, known.remainingReports);
			return false;
		}

		const record = known ?? this.#getOrCreate(request, nowMs - ageMs);
		const isLater = generation > record.generation;
		if (isLater) {
			record.generation = generation;
			record.workers.clear();
			record.trials = new CrashTrials(true);
		}

		const sizeBefore = record.workers.size;
		for (const worker of workers) {
			if (record.workers.size < MAX_WORKERS) {
				record.workers.add(worker);
			}
		}

		record.lastCrashAtMs = Math.max(record.lastCrashAtMs, nowMs - ageMs);
		const hasChanged = isLater || record.workers.size > sizeBefore;
		if (hasChanged) {
			record.remainingReports = REPORTS_PER_CHANGE;
		}

		return hasChanged;
	}

	/** Judges a request by the crashes that no quarantined request explains. */
	classify(request: string, nowMs: number): CrashVerdict {
		const record = this.#records.get(request);
		const crashes = record ? this.#countUnexplained(record) : 0;
		if (!record || crashes < SUSPECT_CRASHES) {
			return CrashVerdict.Clear;
		}

		const isQuarantined = crashes >= QUARANTINE_CRASHES && nowMs - record.lastCrashAtMs < computeQuarantineMs(crashes) && !this.#isDoubtful(record);
		return isQuarantined ? CrashVerdict.Quarantined : CrashVerdict.Suspect;
	}

	/** Number of crashes that count against a request. */
	countCrashes(request: string): number {
		const record = this.#records.get(request);
		return record ? this.#countUnexplained(record) : 0;
	}

	/** Records that workers have responded to the request shortly before they crashed. @returns whether this changes what is known. */
	recordServedBefore(request: string): boolean {
		const record = this.#records.get(request);
		return record ? record.workers.size > 0 && record.trials.recordDoubt() : false;
	}

	/** Whether a request may be sent to workers in trials only. */
	needsTrial(request: string): boolean {
		return this.countCrashes(request) >= QUARANTINE_CRASHES;
	}

	/** Takes the turn to send the next trial of a request, unless it is another host's or too early. @param host hash of this host. @returns the time from which the turn holds, monotonic ms. */
	takeTurn(request: string, host: number, nowMs: number): number | undefined {
		const record = this.#records.get(request);
		return record?.trials.takeTurn(host, record.lastCrashAtMs, nowMs);
	}

	/** Whether this host may send a trial of a request now. @param host hash of this host. */
	hasTurn(request: string, host: number, nowMs: number): boolean {
		const record = this.#records.get(request);
		return record ? record.trials.hasTurn(host, record.lastCrashAtMs, nowMs) : false;
	}

	/** Records that this host sends a trial of a request. @param run id that no other trial has. @param deadlineAtMs deadline of the run, monotonic ms. */
	beginTrial(request: string, run: number, deadlineAtMs: number, nowMs: number): void {
		this.#records.get(request)?.trials.begin(run, deadlineAtMs, nowMs);
	}

	/** Number of trials since the last response. */
	countTrials(request: string): number {
		return this.#records.get(request)?.trials.count ?? 0;
	}

	/** Records what a peer reports of trials; those of crashes that this host does not know of are reported again. @returns whether this changes what is known. */
	recordPeerTrials(report: TrialReport, nowMs: number): boolean {
		const record = this.#records.get(report.request);
		return record?.generation === report.generation ? record.trials.recordPeerReport(report, nowMs) : false;
	}

	/** Takes what peers are to be told of trials now. */
	takeTrialReports(nowMs: number): TrialReport[] {
		const reports: TrialReport[] = [];
		for (const {request, generation, workers, trials} of this.#records.values()) {
			const report = workers.size >= SUSPECT_CRASHES && reports.length < MAX_REPORTED ? trials.takeReport(nowMs) : undefined;
			if (report) {
				reports.push({request, generation, ...report});
			}
		}

		return reports;
	}

	/** Fingerprints of the requests that are quarantined. */
	listQuarantined(nowMs: number): string[] {
		return [...this.#records.keys()].filter(request => this.classify(request, nowMs) === CrashVerdict.Quarantined);
	}

	/** Makes all suspects due to be reported, for a host that has just started. */
	repeatReports(): void {
		for (const record of this.#records.values()) {
			record.remainingReports = record.workers.size >= SUSPECT_CRASHES ? REPORTS_PER_CHANGE : record.remainingReports;
		}
	}

	/** Makes the trials of all requests due to be reported, for a host that has just started. */
	repeatTrialReports(): void {
		for (const {trials} of this.#records.values()) {
			trials.repeatReport();
		}
	}

	/** Takes what peers are to be told now: recent changes, and from time to time all suspects. */
	takeReports(nowMs: number): CrashReport[] {
		this.#prune(nowMs);
		const due: CrashRecord[] = [];
		for (const record of this.#records.values()) {
			const isRefreshDue = record.workers.size >= SUSPECT_CRASHES && nowMs - record.reportedAtMs >= REFRESH_INTERVAL_MS;
			if (record.remainingReports > 0 || isRefreshDue) {
				due.push(record);
			}
		}

		due.sort((a, b) => b.workers.size - a.workers.size);
		return due.slice(0, MAX_REPORTED).map(record => {
			record.remainingReports = Math.max(0, record.remainingReports - 1);
			record.reportedAtMs = nowMs;
			return describeCrashes(record, nowMs);
		});
	}

	/** Whether a request has been at a crash, and is remembered. */
	has(request: string): boolean {
		return this.#records.has(request);
	}

	/** Returns what is known of a request; `undefined` if it is no suspect and has never been cleared. */
	describe(request: string, nowMs: number): CrashHistory | undefined {
		const record = this.#records.get(request);
		if (!record || (record.workers.size < SUSPECT_CRASHES && record.generation === 0)) {
			return undefined;
		}

		return {crashes: describeCrashes(record, nowMs), trials: {request, generation: record.generation, ...record.trials.describe(nowMs)}};
	}

	/** Crashes of a request without those at which a quarantined request with more crashes was running too. One that had stopped crashing workers explains nothing. */
	#countUnexplained(record: CrashRecord): number {
		if (record.workers.size < SUSPECT_CRASHES) {
			return record.workers.size;
		}

		const causes = [...this.#records.values()].filter(({workers, lastCrashAtMs}) =>
			workers.size >= QUARANTINE_CRASHES && workers.size > record.workers.size && lastCrashAtMs + SAME_CRASH_MS >= record.lastCrashAtMs);
		let count = 0;
		for (const worker of record.workers) {
			count += causes.some(({workers}) => workers.has(worker)) ? 0 : 1;
		}

		return count;
	}

	/** Whether there is evidence for a request: of its own, or that another one was at the same crashes. */
	#isDoubtful(record: CrashRecord): boolean {
		const {workers, trials} = record;
		return trials.isDoubtful || (trials.count === 0 && [...this.#records.values()].some(other => other !== record && hasSameMembers(other.workers, workers)));
	}

	#getOrCreate(request: string, lastCrashAtMs: number): CrashRecord {
		let record = this.#records.get(request);
		if (!record) {
			this.#makeRoom();
			record = {
				request, generation: 0, workers: new Set(), trials: new CrashTrials(false), lastCrashAtMs, remainingReports: 0, reportedAtMs: Number.NEGATIVE_INFINITY,
			};
			this.#records.set(request, record);
		}

		return record;
	}

	/** Drops the request with the fewest crashes, of several the oldest, if there is no room for another one. */
	#makeRoom(): void {
		if (this.#records.size < MAX_RECORDS) {
			return;
		}

		let least: CrashRecord | undefined;
		for (const record of this.#records.values()) {
			if (!least || record.workers.size < least.workers.size || (record.workers.size === least.workers.size && record.lastCrashAtMs < least.lastCrashAtMs)) {
				least = record;
			}
		}

		this.#records.delete(least!.request);
	}

	#prune(nowMs: number): void {
		for (const {request, workers, lastCrashAtMs} of this.#records.values()) {
			const retentionMs = workers.size === 0 ? CLEARED_RETENTION_MS : RETENTION_FACTOR * computeQuarantineMs(workers.size);
			if (nowMs - lastCrashAtMs > retentionMs) {
				this.#records.delete(request);
			}
		}
	}
}

function describeCrashes({request, generation, workers, lastCrashAtMs}: CrashRecord, nowMs: number): CrashReport {
	return {
		request, generation, workers: [...workers], ageMs: Math.max(0, nowMs - lastCrashAtMs),
	};
}

function hasSameMembers(a: ReadonlySet<number>, b: ReadonlySet<number>): boolean {
	return a.size === b.size && [...a].every(member => b.has(member));
}

function computeQuarantineMs(crashes: number): number {
	return QUARANTINE_MS * (2 ** Math.max(0, crashes - QUARANTINE_CRASHES));
}
