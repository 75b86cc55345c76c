import type {IncomingMessage, ServerResponse} from 'node:http';
import {readPendingInput} from '@apricotwood/clock';

/** Connection of a caller during one request: tells when the caller has left. */
export class CallerConnection {
	#hasLeft = false;
	#onLeft: () => void = () => {};

	constructor(private readonly req: IncomingMessage, private readonly res: ServerResponse) {}

	/** Whether the caller has left before the response was complete. */
	get hasLeft(): boolean {
		return this.#hasLeft;
	}

	/** Calls `onLeft` when the caller leaves; it may be called more than once. */
	watch(onLeft: () => void): void {
		this.#onLeft = onLeft;
		const {socket} = this.req;
		const handleEnd = () => {
			this.#recordDeparture();
		};

		// The server closes the connection at the caller's end; its `close` event follows turns of the event loop later.
		socket.once('end', handleEnd);
		this.res.once('close', () => {
			socket.off('end', handleEnd);
			if (!this.res.writableFinished) {
				this.#recordDeparture();
			}
		});
	}

	/** Notices a caller that has left although this host, while it lags, has not read the end of the connection yet. */
	async detectDeparture(): Promise<void> {
		await readPendingInput();
		const {socket} = this.req;
		if (socket.readableEnded || socket.destroyed) {
			this.#recordDeparture();
		}
	}

	#recordDeparture(): void {
		this.#hasLeft = true;
		this.#onLeft();
	}
}
