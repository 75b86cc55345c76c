import {sleep, type Clock} from '@apricotwood/clock';
import type {CrashHistory, CrashTracker} from '@apricotwood/steering';
import type {Log} from '@apricotwood/telemetry';
import type {CrashHistoryKeeper} from '../request/crash-guard.js';
import type {CrashHistoryEntry, CrashHistorySource} from '../source.js';

/** Timeout of each call to the source, ms. */
const CALL_TIMEOUT_MS = 1000;
/** Interval at which this host looks for changes to write, ms. */
const POLL_INTERVAL_MS = 100;
/** Linear increase of the backoff between failed calls, ms. */
const BACKOFF_STEP_MS = 150;
/** Upper bound of the backoff, ms. */
const MAX_BACKOFF_MS = 2000;
/** Maximum number of entries that one call writes or removes. */
const MAX_ENTRIES_PER_CALL = 16;
/** Longest wait for a trial that is taken from an entry, ms. */
const MAX_TRIAL_WAIT_MS = 60 * 60 * 1000;
/** Age from which an entry is removed, ms; longer than any quarantine is remembered. */
const MAX_ENTRY_AGE_MS = 12 * 60 * 60 * 1000;

/** Dependencies of a `CrashArchive`. */
export type CrashArchiveDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly crashes: CrashTracker;
	/** Hash of this host's id. */
	readonly hostHash: number;
	/** Where the histories are kept. @default nowhere: they end with the last host that knows them */
	readonly crashHistorySource?: CrashHistorySource;
	/** Called after the entries of all hosts were read. @param requests fingerprints of the requests that they are about. */
	readonly onLoaded: (requests: readonly string[]) => void;
};

/**
 * Keeps the histories of requests that crash workers in the source, and reads them
 * when this host starts: the reports between hosts do not survive the loss of all.
 *
 * Each host writes entries of its own, and only of requests of which it has seen a
 * crash, a trial or a response itself, so no host overwrites what another one knows
 * and the writes do not grow with the number of hosts. Readers unite the entries as
 * they unite the reports of peers.
 */
export class CrashArchive implements CrashHistoryKeeper {
	/** Requests that this host has seen something of itself, and what was last written of each; `undefined` before. */
	readonly #own = new Map<string, string | undefined>();
	/** Those of which something may have to be written. */
	readonly #due = new Set<string>();
	/** Requests that had entries when this host started; those of hosts that no longer run are outweighed by what is written now. */
	readonly #loaded = new Set<string>();
	#isLoaded = false;

	constructor(private readonly deps: CrashArchiveDeps) {}

	recordOwn(requests: readonly string[]): void {
		if (!this.deps.crashHistorySource) {
			return;
		}

		for (const request of requests) {
			this.#own.set(request, this.#own.get(request));
			this.#due.add(request);
		}
	}

	recordKnown(requests: readonly string[]): void {
		this.recordOwn(requests.filter(request => this.#own.has(request)));
	}

	/** Runs until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, log, crashHistorySource: source} = this.deps;
		for (let failures = 0; !signal.aborted;) {
			try {
				await (source && this.#synchronize(source, signal)); // eslint-disable-line no-await-in-loop
				failures = 0;
			} catch (error) {
				// A call that ends because this host ends is no failure of the source.
				if (!signal.aborted) {
					failures++;
					log.warn({event: 'crash-history-failed', message: (error as Error).message, tries: failures});
				}
			}

			await sleep(clock, Math.min(MAX_BACKOFF_MS, POLL_INTERVAL_MS + (BACKOFF_STEP_MS * failures)), signal); // eslint-disable-line no-await-in-loop
		}
	}

	async #synchronize(source: CrashHistorySource, signal: AbortSignal): Promise<void> {
		if (!this.#isLoaded) {
			await this.#load(source, signal);
			this.#isLoaded = true;
		}

		await this.#write(source, signal);
	}

	async #load(source: CrashHistorySource, signal: AbortSignal): Promise<void> {
		const {clock, log, crashes, onLoaded} = this.deps;
		const entries = await source.readCrashHistory(limitCall(signal));
		const expired = entries.filter(({lastCrashAtMs}) => Math.abs(clock.now() - lastCrashAtMs) > MAX_ENTRY_AGE_MS);
		const kept = entries.filter(entry => !expired.includes(entry));
		const histories = kept.map(entry => toHistory(entry, clock.now()));
		for (const {crashes: report} of histories) {
			crashes.recordPeerReport(report, clock.monotonic());
		}

		for (const {trials} of histories) {
			crashes.recordPeerTrials(trials, clock.monotonic());
			this.#loaded.add(trials.request);
		}

		if (entries.length > 0) {
			log.info({event: 'crash-history', entries: kept.length, expired: expired.length});
			onLoaded(kept.map(({request}) => request));
		}

		if (expired.length > 0) {
			await source.updateCrashHistory([], expired.slice(0, MAX_ENTRIES_PER_CALL), limitCall(signal));
		}
	}

	async #write(source: CrashHistorySource, signal: AbortSignal): Promise<void> {
		const {hostHash} = this.deps;
		const changes = this.#takeDue();
		const removed = this.#dropForgotten();
		if (changes.length > 0 || removed.length > 0) {
			try {
				await source.updateCrashHistory(changes.map(({entry}) => entry), removed.map(request => ({host: hostHash, request})), limitCall(signal));
			} catch (error) {
				this.recordOwn(changes.map(({entry: {request}}) => request));
				throw error;
			}
		}

		for (const {entry: {request}, text} of changes) {
			this.#own.set(request, text);
		}

		for (const request of removed) {
			this.#own.delete(request);
		}
	}

	/** Drops requests that are forgotten and have no entry. @returns those that have one, which has to be removed first. */
	#dropForgotten(): string[] {
		const removed: string[] = [];
		for (const [request, writtenText] of this.#own) {
			if (this.deps.crashes.has(request)) {
				continue;
			}

			if (writtenText === undefined) {
				this.#own.delete(request);
			} else if (removed.length < MAX_ENTRIES_PER_CALL) {
				removed.push(request);
			}
		}

		return removed;
	}

	/** Takes what has to be written now. */
	#takeDue(): Change[] {
		const {clock, crashes, hostHash} = this.deps;
		const changes: Change[] = [];
		for (const request of this.#due) {
			if (changes.length >= MAX_ENTRIES_PER_CALL) {
				break;
			}

			this.#due.delete(request);
			const history = crashes.describe(request, clock.monotonic());
			const writtenText = this.#own.get(request);
			const hasEntry = writtenText !== undefined || this.#loaded.has(request);
			if (history && (hasEntry || isEvident(history)) && identify(history) !== writtenText) {
				changes.push({entry: toEntry(history, hostHash, clock.now()), text: identify(history)});
			}
		}

		return changes;
	}
}

/** Signal of one call to the source. */
function limitCall(signal: AbortSignal): AbortSignal {
	return AbortSignal.any([signal, AbortSignal.timeout(CALL_TIMEOUT_MS)]);
}

/** An entry that has to be written, and the text that it is identified by. */
type Change = {readonly entry: CrashHistoryEntry; readonly text: string};

/** Whether a request is worth an entry: one that got responses is popular rather than the cause, unless trials have failed. */
function isEvident({trials: {runs, isDoubtful}}: CrashHistory): boolean {
	return !isDoubtful || runs.length > 0;
}

/** Text that is equal for histories that differ in no more than their age. */
function identify({crashes: {generation, workers}, trials: {runs, isDoubtful}}: CrashHistory): string {
	return JSON.stringify([generation, workers, runs, isDoubtful]);
}

function toEntry({crashes: {request, generation, workers, ageMs}, trials: {runs, waitMs, isDoubtful}}: CrashHistory, host: number, nowMs: number): CrashHistoryEntry {
	return {
		host, request, generation, workers, lastCrashAtMs: Math.round(nowMs - ageMs), trials: runs, nextTrialAtMs: Math.ceil(nowMs + waitMs), isDoubtful,
	};
}

/** Converts an entry to what a peer would report; nobody has the turn to send a trial. */
function toHistory({request, generation, workers, lastCrashAtMs, trials, nextTrialAtMs, isDoubtful}: CrashHistoryEntry, nowMs: number): CrashHistory {
	return {
		crashes: {
			request, generation, workers, ageMs: Math.max(0, nowMs - lastCrashAtMs),
		},
		trials: {
			request, generation, runs: trials, waitMs: Math.min(MAX_TRIAL_WAIT_MS, Math.max(0, nextTrialAtMs - nowMs)), turnHost: 0, turnMs: 0, isDoubtful,
		},
	};
}
