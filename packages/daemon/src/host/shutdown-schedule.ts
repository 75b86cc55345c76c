/** Times of a shutdown after its start, ms. */
export type ShutdownSchedule = {
	/** Callers with a cached lookup result are served at most until then, also if the other hosts cannot be told. */
	readonly closeAfterMs: number;
	/** Requests that are still in flight are reset. */
	readonly endAfterMs: number;
	/** The host no longer waits for the release of its units. */
	readonly exitAfterMs: number;
};

/** Time between the end of the requests and the end of the grace period, ms, and as a ratio of it at most. */
const CLOSING_MS = 1000;
const MAX_CLOSING_RATIO = 1 / 4;
/** Part of that time that remains for the process to exit, as a ratio. */
const EXIT_RATIO = 1 / 4;
/** Part of the time for requests in which the host stays open to callers at most, as a ratio. */
const MAX_OPEN_RATIO = 3 / 4;

/** Computes the times of a shutdown. @param graceMs time from the stop signal to the end of the process, ms. */
export function computeShutdownSchedule(graceMs: number): ShutdownSchedule {
	const closingMs = Math.min(CLOSING_MS, graceMs * MAX_CLOSING_RATIO);
	const endAfterMs = graceMs - closingMs;
	return {closeAfterMs: endAfterMs * MAX_OPEN_RATIO, endAfterMs, exitAfterMs: graceMs - (closingMs * EXIT_RATIO)};
}
