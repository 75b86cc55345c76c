import {setImmediate} from 'node:timers/promises';

/**
 * Resolves when this process has read what had arrived on its connections before
 * the call. On a host that lags, the end of a connection may have arrived long ago,
 * together with the request or the response that is handled now, and is read only
 * in the next turn of the event loop.
 */
export async function readPendingInput(): Promise<void> {
	// The first turn may be the present one, which has read its input already.
	await setImmediate();
	await setImmediate();
}
