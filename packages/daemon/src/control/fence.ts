import type {Clock} from '@apricotwood/clock';

/** A loop that is late by more than this was paused, ms. */
const PAUSE_THRESHOLD_MS = 3000;

export type FenceOptions = {
	readonly clock: Clock;
	/** Longest silence of both platform and peers, ms. */
	readonly isolationMs: number;
	/** Monotonic ms of the platform's last answer. */
	readonly lastPlatformReplyMs: () => number;
	/** Monotonic ms of the last message from a peer. */
	readonly lastPeerMessageMs: () => number;
	/** Whether any other host is known. */
	readonly hasPeers: () => boolean;
};

/**
 * Whether this host may start work on units that it holds. It may not while it
 * is cut off from everyone, nor after a pause before it has read its entries again.
 */
export class Fence {
	#lastTickMs: number;
	#mustReread = false;
	#isClosed = false;

	constructor(private readonly options: FenceOptions) {
		this.#lastTickMs = options.clock.monotonic();
	}

	/** Called by a loop of the process at least once a second. */
	tick(): void {
		this.#detectPause();
		this.#lastTickMs = this.options.clock.monotonic();
	}

	/** Whether entries have to be read again before work starts. */
	get mustReread(): boolean {
		return this.#mustReread;
	}

	/** Lets nothing start any more. */
	close(): void {
		this.#isClosed = true;
	}

	/** Called once entries have been read again. */
	recordReread(): void {
		this.#mustReread = false;
	}

	mayStart(): boolean {
		this.#detectPause();
		return !this.#isClosed && !this.#mustReread && !this.#isIsolated();
	}

	#detectPause(): void {
		if (this.options.clock.monotonic() - this.#lastTickMs > PAUSE_THRESHOLD_MS) {
			this.#mustReread = true;
		}
	}

	#isIsolated(): boolean {
		const {clock, isolationMs, lastPlatformReplyMs: lastPlatformReplyMs, lastPeerMessageMs: lastPeerMessageMs, hasPeers} = this.options;
		const lastContactMs = Math.max(lastPlatformReplyMs(), lastPeerMessageMs());
		return hasPeers() && clock.monotonic() - lastContactMs > isolationMs;
	}
}
