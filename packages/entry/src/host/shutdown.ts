import {sleep, type Clock} from '@apricotwood/clock';
import type {Log} from '@apricotwood/telemetry';
import type {Ingress} from '../request/ingress.js';
import {HostEvent, type HostLifecycle} from './phase.js';

/** Time for callers to learn that the host is leaving, ms; at most the grace period divided by 1.7, so that the rest remains for draining and `SHUTDOWN_MARGIN_MS`. */
const LEAVE_MS = 3500;
/** Part of the grace period that is reserved for closing down after draining, ms. */
const SHUTDOWN_MARGIN_MS = 700;
/** Interval at which the end of in-flight requests is polled while draining, ms. */
const DRAIN_POLL_INTERVAL_MS = 25;

/** Dependencies of `shutDownOnAbort`. */
export type ShutdownDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly lifecycle: HostLifecycle;
	readonly ingress: Ingress;
	/** Time from the signal to the end of the process, ms. */
	readonly graceMs: number;
	/** Tells the other hosts that this one is leaving. */
	readonly announce: () => void;
};

/** After the signal: announces the shutdown, keeps serving, then drains until no request is in flight or the grace period ends. */
export async function shutDownOnAbort({clock, log, lifecycle, ingress, graceMs, announce}: ShutdownDeps, signal: AbortSignal): Promise<void> {
	await waitForAbort(signal);
	const startAtMs = clock.monotonic();
	lifecycle.send(HostEvent.Leave);
	announce();
	log.info({event: 'leaving', running: ingress.running});
	await sleep(clock, Math.min(LEAVE_MS, graceMs / 1.7));
	lifecycle.send(HostEvent.Close);
	ingress.close();
	const endAtMs = startAtMs + graceMs - SHUTDOWN_MARGIN_MS;
	while (ingress.running > 0 && clock.monotonic() < endAtMs) {
		await sleep(clock, DRAIN_POLL_INTERVAL_MS); // eslint-disable-line no-await-in-loop
	}

	log.info({event: 'left', running: ingress.running, tookMs: Math.round(clock.monotonic() - startAtMs)});
}

async function waitForAbort(signal: AbortSignal): Promise<void> {
	await new Promise<void>(resolve => {
		if (signal.aborted) {
			resolve();
		}

		signal.addEventListener('abort', () => {
			resolve();
		}, {once: true});
	});
}
