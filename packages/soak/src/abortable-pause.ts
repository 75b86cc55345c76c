import {setTimeout as pause} from 'node:timers/promises';

/** Waits for `ms`, or until the signal is aborted. */
export async function pauseUnlessAborted(ms: number, signal: AbortSignal): Promise<void> {
	try {
		await pause(Math.max(0, ms), undefined, {signal});
	} catch {
		// Aborted.
	}
}
