import type {Clock} from '@apricotwood/clock';

/** A loop that is late by more than this was paused, ms. */
const PAUSE_MS = 3000;

export type FenceOptions = {
	readonly clock: Clock;
	/** Longest silence of both platform and peers, ms. */
	readonly isolationMs: number;
	/** Monotonic ms of the platform's last answer. */
	readonly lastPlatformMs: () => number;
	/** Monotonic ms of the last message from a peer. */
	readonly lastPeerMs: () => number;
	/** Whether any other host is known. */
	readonly hasPeers: () => boolean;
};

/**
 * Whether this host may start work on units that it holds. It may not while it
 * is cut off from everyone, nor after a pause before it has read its entries again.
 */
export class Fence {
	#lastBeatMs: number;
	#mustReread = false;
	#isShut = false;

	constructor(private readonly options: FenceOptions) {
		this.#lastBeatMs = options.clock.monotonic();
	}

	/** Called by a loop of the process at least once a second. */
	beat(): void {
		this.#notePause();
		this.#lastBeatMs = this.options.clock.monotonic();
	}

	/** Whether entries have to be read again before work starts. */
	get mustReread(): boolean {
		return this.#mustReread;
	}

	/** Lets nothing start any more. */
	shut(): void {
		this.#isShut = true;
	}

	/** Called once entries have been read again. */
	recordReread(): void {
		this.#mustReread = false;
	}

	mayStart(): boolean {
		this.#notePause();
		return !this.#isShut && !this.#mustReread && !this.#isIsolated();
	}

	#notePause(): void {
		if (this.options.clock.monotonic() - this.#lastBeatMs > PAUSE_MS) {
			this.#mustReread = true;
		}
	}

	#isIsolated(): boolean {
		const {clock, isolationMs, lastPlatformMs, lastPeerMs, hasPeers} = this.options;
		const heardMs = Math.max(lastPlatformMs(), lastPeerMs());
		return hasPeers() && clock.monotonic() - heardMs > isolationMs;
	}
}
