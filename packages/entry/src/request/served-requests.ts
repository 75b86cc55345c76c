import type {RequestFingerprint} from './fingerprint.js';

type ServedRequest = {
	readonly fingerprint: RequestFingerprint;
	/** Monotonic ms. */
	readonly servedAtMs: number;
};

/** Number of requests that are kept. */
const MAX_REQUESTS = 256;
/** Longest body with which a request is kept, bytes: bounds the memory to 1 MiB. */
const MAX_BODY_BYTES = 4096;
/** Time for which a response speaks for its request, ms. */
const MAX_AGE_MS = 30_000;

/** The requests that this host has served last. Fingerprints are computed only when it is asked. */
export class ServedRequests {
	readonly #ring: ServedRequest[] = [];
	#next = 0;

	record(fingerprint: RequestFingerprint, nowMs: number): void {
		if (fingerprint.bodyBytes <= MAX_BODY_BYTES) {
			this.#ring[this.#next] = {fingerprint, servedAtMs: nowMs};
			this.#next = (this.#next + 1) % MAX_REQUESTS;
		}
	}

	/** Whether the request was served of late. */
	has(fingerprint: string, nowMs: number): boolean {
		return this.#ring.some(served => nowMs - served.servedAtMs <= MAX_AGE_MS && served.fingerprint.value === fingerprint);
	}
}
