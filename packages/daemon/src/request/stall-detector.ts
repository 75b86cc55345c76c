import type {IncomingMessage} from 'node:http';
import type {ConnectionGuard, LongBody} from '@apricotwood/admission';
import {sleep, type Clock} from '@apricotwood/clock';

type WatchedBody = {
	readonly req: IncomingMessage;
	readonly onStall: () => void;
	readonly body: LongBody | undefined;
	bytes: number;
	lastProgressMs: number;
};

/** Number of checks within one stall timeout. */
const CHECKS_PER_TIMEOUT = 4;

/** Detects request bodies that have stalled; one timer checks all of them. */
export class StallDetector {
	readonly #watched = new Set<WatchedBody>();

	/** @param guard tells when the connection of a watched request has to give way; that ends its body as a stall does. */
	constructor(private readonly clock: Clock, private readonly stallMs: number, private readonly guard: ConnectionGuard) {}

	/** Watches a request until its body stalls. @param body holds what has been read and not sent yet. @returns a function that stops watching. */
	watch(req: IncomingMessage, onStall: () => void, body?: LongBody): () => void {
		const entry: WatchedBody = {
			req, onStall, body, bytes: req.socket.bytesRead, lastProgressMs: this.clock.monotonic(),
		};
		this.#watched.add(entry);
		const holding = this.guard.findHolding(req);
		const stop = () => {
			this.#watched.delete(entry);
			if (holding) {
				holding.onEvict = () => false;
			}
		};

		if (holding) {
			holding.onEvict = () => {
				stop();
				onStall();
				return true;
			};
		}

		return stop;
	}

	/** Checks periodically until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await sleep(this.clock, this.stallMs / CHECKS_PER_TIMEOUT, signal); // eslint-disable-line no-await-in-loop
			this.check();
		}
	}

	/** Reports stalled bodies. A body has not stalled while bytes arrive or this host has not sent what arrived. */
	check(): void {
		const nowMs = this.clock.monotonic();
		for (const entry of this.#watched) {
			const {bytesRead} = entry.req.socket;
			const hasUnsentData = entry.req.readableLength > 0 || (entry.body?.heldBytes ?? 0) > 0;
			if (bytesRead !== entry.bytes || hasUnsentData || entry.req.complete) {
				entry.bytes = bytesRead;
				entry.lastProgressMs = nowMs;
				continue;
			}

			if (nowMs - entry.lastProgressMs >= this.stallMs) {
				this.#watched.delete(entry);
				entry.onStall();
			}
		}
	}
}
