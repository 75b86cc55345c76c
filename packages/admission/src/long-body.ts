import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {readPendingInput} from '@apricotwood/clock';

/** Bytes of one body that are read ahead of its worker. */
const MAX_READ_AHEAD_BYTES = 1024 * 1024;
/** Bytes that all bodies of a host may hold from which none is read ahead of its worker. */
const MAX_TOTAL_READ_AHEAD_BYTES = 16 * 1024 * 1024;
/** Bytes of one body that are read before it is sent, to find out whether its caller has left; at least what the kernel usually holds of a connection. */
const MAX_ARRIVED_BYTES = 8 * 1024 * 1024;
/** Bytes that all bodies of a host may hold from which none is read to find that out. */
const MAX_TOTAL_ARRIVED_BYTES = 32 * 1024 * 1024;

/** Counts the bytes that the long bodies of a host hold. */
export class HeldBytes {
	total = 0;
}

/**
 * A body, or what follows its first part, that is not buffered before a worker is chosen.
 *
 * Nothing tells that the caller has left but the end of its connection, and that
 * lies behind the bytes of the body. So these are read ahead of the worker, up to a
 * bound, while the request waits and while the worker does not read.
 */
export class LongBody {
	readonly #chunks: Buffer[] = [];
	#heldBytes = 0;
	#maxHeldBytes = MAX_READ_AHEAD_BYTES;
	#maxTotalBytes = MAX_TOTAL_READ_AHEAD_BYTES;
	#wasTaken = false;
	#isComplete = false;
	#error: Error | undefined;
	/** Called when more of the body, or its end, has been read; set while the worker waits for it. */
	#wake: (() => void) | undefined;

	/**
	 * @param receivedBytes bytes of the body that have been read before.
	 * @param maxBytes maximum body size that callers may send, bytes.
	 */
	constructor(readonly req: IncomingMessage, private receivedBytes: number, private readonly maxBytes: number, private readonly held: HeldBytes) {
		req.on('data', this.#onData);
		req.on('end', this.#onEnd);
		req.on('close', this.#onClose);
		this.#flow();
	}

	/** Whether none of it has been taken by `stream`, so that it can still be sent from its start. */
	get isUntaken(): boolean {
		return !this.#wasTaken;
	}

	/** Bytes that have been read and not taken. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** Streams the body as it arrives. @throws if it exceeds the limit or the connection ends before it is complete. */
	async * stream(): AsyncGenerator<Buffer> {
		while (!this.#error) {
			const chunk = this.#chunks.shift();
			if (chunk) {
				this.#wasTaken = true;
				this.#hold(-chunk.length);
				this.#flow();
				yield chunk;
			} else if (this.#isComplete) {
				return;
			} else {
				await this.#awaitMore(); // eslint-disable-line no-await-in-loop
			}
		}

		throw this.#error;
	}

	/** Resolves when what had arrived before the call is read, and with it the end of the connection of a caller that has left. */
	async readArrived(): Promise<void> {
		const fromBytes = this.receivedBytes;
		this.#maxHeldBytes = this.#heldBytes + MAX_ARRIVED_BYTES;
		this.#maxTotalBytes = MAX_TOTAL_ARRIVED_BYTES;
		let beforeBytes: number;
		do {
			beforeBytes = this.receivedBytes;
			this.#flow();
			await readPendingInput(); // eslint-disable-line no-await-in-loop
		} while (this.receivedBytes > beforeBytes && this.receivedBytes < fromBytes + MAX_ARRIVED_BYTES);

		this.#maxHeldBytes = MAX_READ_AHEAD_BYTES;
		this.#maxTotalBytes = MAX_TOTAL_READ_AHEAD_BYTES;
		this.#flow();
	}

	/** Ends the use of the body: what is held is dropped, and so is the rest as it arrives, so that the end of the connection is still read. */
	release(): void {
		this.req.off('data', this.#onData);
		this.req.off('end', this.#onEnd);
		this.req.off('close', this.#onClose);
		this.#chunks.length = 0;
		this.#hold(-this.#heldBytes);
		this.req.resume();
	}

	readonly #onData = (chunk: Buffer) => {
		this.receivedBytes += chunk.length;
		if (this.receivedBytes > this.maxBytes) {
			this.#fail(`request body exceeds the limit of ${this.maxBytes} bytes`);
			this.req.pause();
			return;
		}

		this.#chunks.push(chunk);
		this.#hold(chunk.length);
		this.#wake?.();
		this.#flow();
	};

	readonly #onEnd = () => {
		this.#isComplete = true;
		this.#wake?.();
	};

	readonly #onClose = () => {
		if (!this.req.complete) {
			this.#fail('connection ended before the request body was complete');
		}
	};

	#hold(bytes: number): void {
		this.#heldBytes += bytes;
		this.held.total += bytes;
	}

	#fail(message: string): void {
		this.#error ??= new Error(message);
		this.#wake?.();
	}

	/** Reads on, or pauses while enough is held. */
	#flow(): void {
		if (this.#error) {
			return;
		}

		const hasRoom = this.#heldBytes < this.#maxHeldBytes && this.held.total < this.#maxTotalBytes;
		if (hasRoom || this.#wake) {
			this.req.resume();
		} else {
			this.req.pause();
		}
	}

	async #awaitMore(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#wake = resolve;
			this.#flow();
		});
		this.#wake = undefined;
	}
}
