import type {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {readPendingInput} from '@apricotwood/clock';
import {BodyBuffer} from './body-buffer.js';
import type {BodyFlow} from './body-flow.js';
import type {BodyHolding} from './request-holding.js';

/** Bytes of one body that are read ahead of its worker. */
const MAX_READ_AHEAD_BYTES = 1024 * 1024;
/** Bytes that all bodies of a host may hold from which none is read ahead of its worker. */
const MAX_TOTAL_READ_AHEAD_BYTES = 16 * 1024 * 1024;
/** Bytes of one body that are read before it is sent, to find out whether its caller has left; at least what the kernel usually holds of a connection. */
const MAX_ARRIVED_BYTES = 8 * 1024 * 1024;
/** Bytes that all bodies of a host may hold from which none is read to find that out. */
const MAX_TOTAL_ARRIVED_BYTES = 32 * 1024 * 1024;
/** Bytes of one connection that the kernel may hold while it is not read. */
const MAX_KERNEL_BYTES = 4 * 1024 * 1024;

/** Counts the bytes that the long bodies of a host hold. */
export class HeldBytes {
	total = 0;
}

/** Options of a `LongBody`. */
export type LongBodyOptions = {
	/** Bytes of the body that have been read before. @default 0 */
	readonly receivedBytes?: number;
	/** Maximum body size that callers may send, bytes. */
	readonly maxBytes: number;
	/** Counts what all long bodies of the host hold. */
	readonly held: HeldBytes;
	/** Counts what this one holds; `undefined` if its connection is closed already. */
	readonly holding: BodyHolding | undefined;
};

/**
 * A body, or what follows its first part, that is not buffered before a worker is chosen.
 *
 * Nothing tells that the caller has left but the end of its connection, and that
 * lies behind the bytes of the body. So these are read ahead of the worker, up to a
 * bound, while the request waits and while the worker does not read.
 */
export class LongBody {
	readonly req: IncomingMessage;
	readonly #buffer = new BodyBuffer();
	#receivedBytes: number;
	/** What is counted for the bytes that the kernel may hold while the body is not read. */
	#kernelBytes = 0;
	#maxHeldBytes = MAX_READ_AHEAD_BYTES;
	#maxTotalBytes = MAX_TOTAL_READ_AHEAD_BYTES;
	#wasTaken = false;
	#isComplete = false;
	#error: Error | undefined;
	/** Called when more of the body, or its end, has been read; set while the worker waits for it. */
	#wake: (() => void) | undefined;

	constructor(private readonly flow: BodyFlow, private readonly options: LongBodyOptions) {
		this.req = flow.req;
		this.#receivedBytes = options.receivedBytes ?? 0;
		options.holding?.beginBody();
		this.req.on('data', this.#onData);
		this.req.on('end', this.#onEnd);
		this.req.on('close', this.#onClose);
		this.#flow();
	}

	/** Whether none of it has been taken by `stream`, so that it can still be sent from its start. */
	get isUntaken(): boolean {
		return !this.#wasTaken;
	}

	/** Bytes that have been read and not taken. */
	get heldBytes(): number {
		return this.#buffer.bytes;
	}

	/** Streams the body as it arrives. @throws if it exceeds the limit or the connection ends before it is complete. */
	async * stream(): AsyncGenerator<Buffer> {
		while (!this.#error) {
			const chunk = this.#buffer.shift();
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
		const fromBytes = this.#receivedBytes;
		this.#maxHeldBytes = this.heldBytes + MAX_ARRIVED_BYTES;
		this.#maxTotalBytes = MAX_TOTAL_ARRIVED_BYTES;
		let beforeBytes: number;
		do {
			beforeBytes = this.#receivedBytes;
			this.#flow();
			await readPendingInput(); // eslint-disable-line no-await-in-loop
		} while (this.#receivedBytes > beforeBytes && this.#receivedBytes < fromBytes + MAX_ARRIVED_BYTES);

		this.#maxHeldBytes = MAX_READ_AHEAD_BYTES;
		this.#maxTotalBytes = MAX_TOTAL_READ_AHEAD_BYTES;
		this.#flow();
	}

	/** Ends the use of the body: what is held is dropped, and so is the rest as it arrives, so that the end of the connection is still read. */
	release(): void {
		this.req.off('data', this.#onData);
		this.req.off('end', this.#onEnd);
		this.req.off('close', this.#onClose);
		this.#hold(-this.heldBytes);
		this.#buffer.clear();
		this.#setHeld(false);
	}

	readonly #onData = (chunk: Buffer) => {
		this.#receivedBytes += chunk.length;
		if (this.#receivedBytes > this.options.maxBytes) {
			this.#fail(`request body exceeds the limit of ${this.options.maxBytes} bytes`);
			return;
		}

		this.#buffer.push(chunk);
		this.#hold(chunk.length);
		this.#wake?.();
		this.#flow();
	};

	readonly #onEnd = () => {
		this.#isComplete = true;
		this.options.holding?.endBody();
		this.#wake?.();
	};

	readonly #onClose = () => {
		if (!this.req.complete) {
			this.#fail('connection ended before the request body was complete');
		}
	};

	#hold(bytes: number): void {
		this.options.held.total += bytes;
		this.options.holding?.hold(bytes);
	}

	#fail(message: string): void {
		this.#error ??= new Error(message);
		this.#setHeld(true);
		this.#wake?.();
	}

	/** Reads on, or pauses while enough is held. */
	#flow(): void {
		if (!this.#error) {
			const hasRoom = this.heldBytes < this.#maxHeldBytes && this.options.held.total < this.#maxTotalBytes;
			this.#setHeld(!hasRoom && !this.#wake);
		}
	}

	/** Pauses the body, or reads it on; what the kernel then holds of it counts as held. */
	#setHeld(isHeld: boolean): void {
		this.flow.setHeld(isHeld);
		const {req, options: {maxBytes, holding}} = this;
		const missingBytes = Number(req.headers['content-length'] ?? maxBytes) - this.#receivedBytes;
		const kernelBytes = isHeld && !this.#isComplete ? Math.min(MAX_KERNEL_BYTES, Math.max(0, missingBytes)) : 0;
		holding?.hold(kernelBytes - this.#kernelBytes);
		this.#kernelBytes = kernelBytes;
	}

	async #awaitMore(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#wake = resolve;
			this.#flow();
		});
		this.#wake = undefined;
	}
}
