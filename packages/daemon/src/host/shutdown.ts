import {sleep, waitForAbort, type Clock} from '@apricotwood/clock';
import type {ShutdownDeadline} from '@apricotwood/steering';
import type {Log} from '@apricotwood/telemetry';
import type {InFlightRequests} from '../request/in-flight-requests.js';
import {HostEvent, HostPhase, type HostLifecycle} from './phase.js';
import type {ShutdownSchedule} from './shutdown-schedule.js';

/** Interval at which the end of in-flight requests is polled while draining, ms. */
const DRAIN_POLL_INTERVAL_MS = 20;

/** Dependencies of {@link Shutdown}. */
export type ShutdownDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly lifecycle: HostLifecycle;
	readonly inFlight: InFlightRequests;
	readonly deadline: ShutdownDeadline;
	readonly schedule: ShutdownSchedule;
	/** Time for which callers keep a lookup result, ms. */
	readonly lookupTtlMs: number;
	/** Returns the time before which the stop signal cannot have come, monotonic ms. */
	readonly getReadUntilMs: () => number;
	/** Called when the deadline has been set: what waits and does not end before it is rejected. */
	readonly rejectLate: () => void;
	/** Tells the other hosts that this host stops. */
	readonly announce: () => Promise<void>;
};

/** The end of a host. It starts with a drain; from the moment at which the process has to end, its schedule bounds each step. */
export class Shutdown {
	readonly #isExitDue = new AbortController();

	/** @param mustEnd aborted when the process has to end within the grace period. */
	constructor(private readonly deps: ShutdownDeps, private readonly mustEnd: AbortSignal) {
		void this.#limitOnAbort();
	}

	/** Serves what can be answered in time until cached lookup results have expired, then waits for requests in flight and resets those that remain at the end. */
	async drain(): Promise<void> {
		const {clock, log, lifecycle, inFlight, deadline} = this.deps;
		const startMs = clock.monotonic();
		lifecycle.send(HostEvent.Drain);
		if (lifecycle.phase === HostPhase.Draining) {
			await this.#serveCachedLookups();
			lifecycle.send(HostEvent.AnswersExpired);
		}

		while (inFlight.size > 0 && clock.monotonic() < deadline.endAtMs) {
			await sleep(clock, DRAIN_POLL_INTERVAL_MS); // eslint-disable-line no-await-in-loop
		}

		log.info({event: 'drained', inFlight: inFlight.size, tookMs: Math.round(clock.monotonic() - startMs)});
		inFlight.reset(log, clock.monotonic());
	}

	/** Waits for `work`, at most until the process has to exit; its signal is aborted then. */
	async runUntilExit(work: (signal: AbortSignal) => Promise<void>): Promise<void> {
		const {signal} = this.#isExitDue;
		await Promise.race([work(signal), waitForAbort(signal)]);
	}

	async #limitOnAbort(): Promise<void> {
		const {clock, deadline, schedule, rejectLate, getReadUntilMs} = this.deps;
		await waitForAbort(this.mustEnd);
		// The platform counts the grace period from the signal, which a blocked event loop notices late.
		const startAtMs = getReadUntilMs();
		deadline.set(startAtMs + schedule.endAfterMs);
		rejectLate();
		await sleep(clock, startAtMs + schedule.exitAfterMs - clock.monotonic());
		this.#isExitDue.abort();
	}

	/** Callers may use a lookup result for its time to live after the announcement. */
	async #serveCachedLookups(): Promise<void> {
		const {clock, schedule, lookupTtlMs, getReadUntilMs, announce} = this.deps;
		const closeAtMs = getReadUntilMs() + schedule.closeAfterMs;
		const announceAndWait = async () => {
			await announce();
			await sleep(clock, lookupTtlMs);
		};

		await Promise.race([announceAndWait(), sleep(clock, closeAtMs - clock.monotonic())]);
	}
}
