import type {IncomingMessage} from 'node:http';
import process from 'node:process';
import type {Clock} from '@apricotwood/clock';
import type {TurnBudget} from './turn-budget.js';

/** Chunks of all bodies that a process reads in a second; reading one takes some microseconds, whatever its size. */
const CHUNKS_PER_SECOND = 100_000;
/** Chunks that may be read at once after a calm time. */
const MAX_CHUNK_CREDIT = 100_000;
/** Chunks of one body that are read in any case, so that ordinary requests do not wait behind others. */
const MIN_BODY_CHUNKS = 256;
/** Interval at which a body that waits may be read on, ms. */
const RELEASE_INTERVAL_MS = 10;
const MS_PER_SECOND = 1000;

/** Whether the head of a request announces a body. */
export function hasBody({headers}: IncomingMessage): boolean {
	return headers['transfer-encoding'] !== undefined || (headers['content-length'] ?? '0') !== '0';
}

/** Shares the turns of the event loop among bodies that come in many small chunks. */
export class ReadPacer {
	#credit = MAX_CHUNK_CREDIT;
	#creditAtMs: number;
	/** Bodies that wait to be read on, in the order of their waiting. */
	readonly #waiting = new Set<() => void>();
	#isTimerSet = false;

	constructor(private readonly clock: Clock, private readonly turnBudget: TurnBudget) {
		this.#creditAtMs = clock.monotonic();
	}

	/** Counts a chunk that was read. @returns whether a body of many chunks may be read on at once. */
	take(): boolean {
		this.turnBudget.spend(1);
		this.#credit--;
		return this.#credit > 0 || this.#refill() > 0;
	}

	/** Calls back when a body may be read on. */
	wait(callback: () => void): void {
		this.#waiting.add(callback);
		this.#setTimer();
	}

	#refill(): number {
		const nowMs = this.clock.monotonic();
		const added = (nowMs - this.#creditAtMs) / MS_PER_SECOND * CHUNKS_PER_SECOND;
		this.#credit = Math.min(MAX_CHUNK_CREDIT, this.#credit + added);
		this.#creditAtMs = nowMs;
		return this.#credit;
	}

	#setTimer(): void {
		if (!this.#isTimerSet && this.#waiting.size > 0) {
			this.#isTimerSet = true;
			this.clock.after(RELEASE_INTERVAL_MS, this.#release);
		}
	}

	/** One body at a time: how many chunks its next read brings is known only afterwards. */
	readonly #release = () => {
		this.#isTimerSet = false;
		const [next] = this.#waiting;
		if (next && this.#refill() > 0) {
			this.#waiting.delete(next);
			next();
		}

		this.#setTimer();
	};
}

/** Ticks after which nothing that a chunk has set off asks the socket for more. */
const TICKS_OF_CHUNK = 3;

/**
 * Reads a body from its request, or pauses it. What nobody else listens for is dropped,
 * so that the end of the connection is still read.
 *
 * The request itself always flows, and only its socket is paused: of a paused request,
 * each chunk that the last read brought would wait as an object of its own.
 */
export class BodyFlow {
	#chunkCount = 0;
	#isHeld = false;
	#isPaced = false;
	#isPaused = false;
	#isPauseDue = false;

	constructor(readonly req: IncomingMessage, private readonly pacer: ReadPacer) {
		req.on('data', () => {
			this.#countChunk();
			// Each chunk lets the request ask its socket for more.
			this.#pauseIfNeeded();
		});
	}

	/** Tells whether its reader has no room for more of it. */
	setHeld(isHeld: boolean): void {
		if (this.#isHeld !== isHeld) {
			this.#isHeld = isHeld;
			this.#update();
		}
	}

	get #mustPause(): boolean {
		return this.#isHeld || this.#isPaced;
	}

	#countChunk(): void {
		this.#chunkCount++;
		const mayReadOn = this.pacer.take();
		if (!mayReadOn && !this.#isPaced && this.#chunkCount > MIN_BODY_CHUNKS) {
			this.#isPaced = true;
			this.pacer.wait(() => {
				this.#isPaced = false;
				this.#update();
			});
		}
	}

	#update(): void {
		this.#pauseIfNeeded();
		if (!this.#mustPause && this.#isPaused) {
			this.#isPaused = false;
			this.req.socket.resume();
		}
	}

	#pauseIfNeeded(): void {
		if (this.#mustPause && !this.#isPauseDue) {
			this.#isPauseDue = true;
			afterTicks(TICKS_OF_CHUNK, () => {
				this.#isPauseDue = false;
				if (this.#mustPause && !this.req.complete) {
					this.#isPaused = true;
					this.req.socket.pause();
				}
			});
		}
	}
}

function afterTicks(count: number, callback: () => void): void {
	if (count === 0) {
		callback();
	} else {
		process.nextTick(afterTicks, count - 1, callback);
	}
}
