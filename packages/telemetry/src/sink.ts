import {Buffer} from 'node:buffer';
import {write, writeSync} from 'node:fs';
import type {Clock, Timer} from '@apricotwood/clock';

/** Destination of formatted log lines. */
export interface LineSink {
	write(line: string): void;
	/** Whether the buffer is over its limit, so that callers should accept no new work until the reader has caught up. */
	readonly isFull: boolean;
	/** Writes buffered lines synchronously, unless an asynchronous write is in progress. */
	flush(): void;
}

/** Delay after which buffered lines are written, ms. Lines added during a write wait for its end. */
const FLUSH_DELAY_MS = 20;
/** Number of buffered characters that starts a write without the delay, unless one is in progress. */
const FLUSH_CHARS = 64 * 1024;
/** Number of buffered characters from which `isFull` is true, without the write in progress. Lines are still accepted: none are dropped because of the limit. */
const MAX_BUFFERED_CHARS = 4 * 1024 * 1024;

/** Writes lines to a file descriptor in batches. A batch that cannot be written is discarded. */
export class BatchSink implements LineSink {
	#lines: string[] = [];
	#chars = 0;
	#timer: Timer | undefined;
	/** Buffer of the asynchronous write in progress. */
	#inFlight: Buffer | undefined;

	constructor(private readonly fd: number, private readonly clock: Clock) {}

	get isFull(): boolean {
		return this.#chars >= MAX_BUFFERED_CHARS;
	}

	write(line: string): void {
		this.#lines.push(line);
		this.#chars += line.length;
		if (this.#chars >= FLUSH_CHARS) {
			this.#startWrite();
			return;
		}

		this.#timer ??= this.clock.after(FLUSH_DELAY_MS, () => {
			this.#startWrite();
		});
	}

	/** Writes the buffer synchronously. Does nothing while an asynchronous write is in progress, which writes the rest if it succeeds. */
	flush(): void {
		this.#timer?.cancel();
		this.#timer = undefined;
		if (this.#inFlight) {
			return;
		}

		writeAllSync(this.fd, this.#takeBuffer());
	}

	/** Resolves when the buffer has been written, or discarded after an error. */
	async drain(): Promise<void> {
		while (this.#inFlight) {
			await new Promise<void>(resolve => { // eslint-disable-line no-await-in-loop
				setImmediate(resolve);
			});
		}

		this.flush();
	}

	#takeBuffer(): Buffer {
		const buffer = Buffer.from(this.#lines.length === 0 ? '' : this.#lines.join('\n') + '\n');
		this.#lines = [];
		this.#chars = 0;
		return buffer;
	}

	#startWrite(): void {
		this.#timer?.cancel();
		this.#timer = undefined;
		const canWrite = this.#inFlight === undefined && this.#lines.length > 0;
		if (!canWrite) {
			return;
		}

		this.#writeChunk(this.#takeBuffer());
	}

	#writeChunk(buffer: Buffer): void {
		this.#inFlight = buffer;
		write(this.fd, buffer, (error, written) => {
			const isRetryable = error?.code === 'EAGAIN';
			if (error && !isRetryable) {
				// Discards the batch, for example because the reader of the file descriptor is gone. Lines added meanwhile stay buffered until the next call of `write`, `flush` or `drain`.
				this.#inFlight = undefined;
				return;
			}

			if (isRetryable) {
				// The pipe is full until its reader has caught up.
				this.clock.after(FLUSH_DELAY_MS, () => {
					this.#writeChunk(buffer);
				});
				return;
			}

			const remaining = buffer.subarray(written);
			if (remaining.length > 0) {
				this.#writeChunk(remaining);
				return;
			}

			this.#inFlight = undefined;
			this.#startWrite();
		});
	}
}

/** Writes the whole buffer synchronously, retrying while the pipe is full; discards the rest on any other error. */
function writeAllSync(fd: number, buffer: Buffer): void {
	let remaining = buffer;
	while (remaining.length > 0) {
		try {
			remaining = remaining.subarray(writeSync(fd, remaining));
		} catch (error) {
			if ((error as NodeJS.ErrnoException).code !== 'EAGAIN') {
				return;
			}
		}
	}
}

/** Sink that collects lines in memory, for tests. */
export class MemorySink implements LineSink {
	readonly lines: string[] = [];

	get isFull(): boolean {
		return false;
	}

	write(line: string): void {
		this.lines.push(line);
	}

	flush(): void {}
}
