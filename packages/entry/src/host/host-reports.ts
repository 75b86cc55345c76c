import type {Clock} from '@apricotwood/clock';
import type {CrashTracker, DrainTracker, RateLimitTracker} from '@apricotwood/steering';
import type {Log, Metrics} from '@apricotwood/telemetry';
import {CrashReports} from '../peer/crash-reports.js';
import {DrainReports} from '../peer/drain-reports.js';
import type {IsolationReports} from '../peer/isolation-reports.js';
import {RateLimitReports} from '../peer/rate-limit-reports.js';
import {PeerReports} from '../peer/reports.js';
import {CrashGuard} from '../request/crash-guard.js';
import type {ReplicatedState} from '../state/replicated-state.js';

/** Dependencies of `createHostReports`. */
export type HostReportsDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly state: ReplicatedState;
	readonly crashes: CrashTracker;
	readonly drains: DrainTracker;
	readonly rateLimits: RateLimitTracker;
	readonly isolation: IsolationReports;
	/** Called when this host has learned of a crash that the others may not know. */
	readonly onCrashChange: () => void;
};

/** What hosts tell each other beside their state, and what records it for this host. */
export type HostReports = {
	readonly crashGuard: CrashGuard;
	readonly drainReports: DrainReports;
	readonly reports: PeerReports;
};

/** Creates the reports of a host: workers that leave or name a limit, requests that crash workers, and hosts that reach none. */
export function createHostReports({clock, log, metrics, state, crashes, drains, rateLimits, isolation, onCrashChange}: HostReportsDeps): HostReports {
	const crashGuard = new CrashGuard({
		clock, log, crashes, onChange: onCrashChange,
	});
	const drainReports = new DrainReports({
		clock, log, state, drains,
	});
	const crashReports = new CrashReports({
		clock,
		crashes,
		onChange(fingerprints) {
			crashGuard.refresh(fingerprints);
		},
	});
	const rateLimitReports = new RateLimitReports({
		clock, log, state, rateLimits,
	});
	return {crashGuard, drainReports, reports: new PeerReports([drainReports, rateLimitReports, crashReports, isolation], metrics)};
}
