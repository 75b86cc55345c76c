import {sleep, waitForAbort, type Clock} from '@apricotwood/clock';
import type {ShutdownDeadline} from '@apricotwood/steering';
import type {Log} from '@apricotwood/telemetry';
import type {Ingress} from '../request/ingress.js';
import type {ShutdownReport} from '../request/shutdown-report.js';
import {HostEvent, type HostLifecycle} from './phase.js';

/** Time reserved for closing down at the end of the grace period, ms, and as a ratio of it at most. */
const CLOSING_MS = 200;
const MAX_CLOSING_RATIO = 1 / 8;
/** Interval at which the end of in-flight requests is polled while draining, ms. */
const DRAIN_POLL_INTERVAL_MS = 25;

/** Periods of a shutdown. */
export type ShutdownPeriods = {
	/** Time from the stop signal to the end of the process, ms. */
	readonly graceMs: number;
	/** Longest time for which callers use one answer of the directory, ms. */
	readonly lookupLifetimeMs: number;
};

/** Dependencies of `shutDownOnAbort`. */
export type ShutdownDeps = ShutdownPeriods & {
	readonly clock: Clock;
	readonly log: Log;
	readonly lifecycle: HostLifecycle;
	readonly ingress: Ingress;
	/** Set at the signal: requests that may end later are not started any more. */
	readonly deadline: ShutdownDeadline;
	readonly report: ShutdownReport;
	/** Returns the time before which the signal cannot have come, monotonic ms. */
	readonly getReadUntilMs: () => number;
	/** Tells the other hosts that this one is leaving. */
	readonly announce: () => void;
};

/** Times of a shutdown after the stop signal, ms. */
export type ShutdownSchedule = {
	/** No more connections are accepted: no caller has a look-up that names this host any more, or the host is about to end. */
	readonly closeAfterMs: number;
	/** The host ends, also if requests are in flight. */
	readonly endAfterMs: number;
};

/** Computes when a host that is to stop closes and ends. */
export function computeShutdownSchedule({graceMs, lookupLifetimeMs}: ShutdownPeriods): ShutdownSchedule {
	const closingMs = Math.min(CLOSING_MS, graceMs * MAX_CLOSING_RATIO);
	const endAfterMs = graceMs - closingMs;
	// What comes late is rejected at once if it cannot end in time, so only the rejections themselves need time after the close.
	return {closeAfterMs: Math.min(lookupLifetimeMs, endAfterMs - closingMs), endAfterMs};
}

/** After the signal: announces the shutdown, serves what can be answered in time, then drains until no request is in flight or the grace period ends. */
export async function shutDownOnAbort({clock, log, lifecycle, ingress, deadline, report, getReadUntilMs, announce, ...periods}: ShutdownDeps, signal: AbortSignal): Promise<void> {
	await waitForAbort(signal);
	// The platform counts the grace period from the signal, which a blocked event loop notices late.
	const startAtMs = getReadUntilMs();
	const {closeAfterMs, endAfterMs} = computeShutdownSchedule(periods);
	deadline.set(startAtMs + endAfterMs);
	report.begin(startAtMs, startAtMs + endAfterMs);
	lifecycle.send(HostEvent.Leave);
	announce();
	log.info({event: 'leaving', running: ingress.running, closeAfterMs, endAfterMs, noticedAfterMs: Math.round(clock.monotonic() - startAtMs)});
	await sleep(clock, startAtMs + closeAfterMs - clock.monotonic());
	lifecycle.send(HostEvent.Close);
	ingress.close();
	while (ingress.running > 0 && clock.monotonic() < startAtMs + endAfterMs) {
		await sleep(clock, DRAIN_POLL_INTERVAL_MS); // eslint-disable-line no-await-in-loop
	}

	// No request may be started between the last count of those in flight and the end of the process.
	deadline.close();
	const {running} = ingress;
	ingress.reset();
	log.info({event: 'left', running, tookMs: Math.round(clock.monotonic() - startAtMs), ...report.counts});
}
