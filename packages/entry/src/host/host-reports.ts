import type {Clock, Random} from '@apricotwood/clock';
import type {CrashTracker, DrainTracker, RateLimitTracker} from '@apricotwood/steering';
import type {Log, Metrics} from '@apricotwood/telemetry';
import {CrashReports} from '../peer/crash-reports.js';
import {DrainReports} from '../peer/drain-reports.js';
import type {IsolationReports} from '../peer/isolation-reports.js';
import {RateLimitReports} from '../peer/rate-limit-reports.js';
import {PeerReports} from '../peer/reports.js';
import {TrialReports} from '../peer/trial-reports.js';
import {CrashGuard} from '../request/crash-guard.js';
import type {CrashHistorySource} from '../source.js';
import type {ReplicatedState} from '../state/replicated-state.js';
import {CrashArchive} from './crash-archive.js';

/** Dependencies of `createHostReports`. */
export type HostReportsDeps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly state: ReplicatedState;
	readonly crashes: CrashTracker;
	readonly drains: DrainTracker;
	readonly rateLimits: RateLimitTracker;
	readonly isolation: IsolationReports;
	/** Keeps the histories of requests that crash workers. @default nowhere */
	readonly crashHistorySource?: CrashHistorySource;
	/** Hash of this host's id. */
	readonly hostHash: number;
	/** Whether this host reaches workers, so that it may send trials of requests that are held to crash workers. */
	readonly canSendTrials: () => boolean;
	/** Called when this host has learned of a crash that the others may not know. */
	readonly onCrashChange: () => void;
};

/** What hosts tell each other beside their state, and what records it for this host. */
export type HostReports = {
	readonly crashGuard: CrashGuard;
	readonly crashArchive: CrashArchive;
	readonly drainReports: DrainReports;
	readonly reports: PeerReports;
};

/** Creates the reports of a host: workers that leave or name a limit, requests that crash workers, and hosts that reach none. */
export function createHostReports(deps: HostReportsDeps): HostReports {
	const {clock, log, metrics, state, crashes, drains, rateLimits, isolation} = deps;
	const crashArchive = new CrashArchive({
		...deps,
		onLoaded(requests) {
			crashGuard.refresh(requests);
		},
	});
	const crashGuard = new CrashGuard({...deps, archive: crashArchive, onChange: deps.onCrashChange});
	const drainReports = new DrainReports({
		clock, log, state, drains,
	});
	const onChange = (fingerprints: readonly string[]) => {
		crashGuard.refresh(fingerprints);
	};

	const crashReports = new CrashReports({clock, crashes, onChange});
	const trialReports = new TrialReports({clock, crashes, onChange});
	const rateLimitReports = new RateLimitReports({
		clock, log, state, rateLimits,
	});
	return {crashGuard, crashArchive, drainReports, reports: new PeerReports([drainReports, rateLimitReports, crashReports, trialReports, isolation], metrics)};
}
