import type {IncomingMessage} from 'node:http';
import {hasBody, type RequestHolding} from '@apricotwood/admission';
import {BodyReadResult, readBody, type RequestBody} from './body.js';
import {RejectionCode, createLateBodyRejection, type Rejection} from './rejection.js';
import type {SessionDeps} from './session-deps.js';

/** Dependencies of a `BodyReceiver`. */
export type BodyReceiverDeps = Pick<SessionDeps, 'clock' | 'maxBodyBytes' | 'heldBytes' | 'pacer'>;

/** A body that was received, or why there is none to send. */
export type ReceivedBody = {
	/** `undefined` if the request has none. */
	readonly body: RequestBody | undefined;
	readonly rejection: Rejection | undefined;
};

/** Receives the body of one request, at the latest until its deadline, or until it is stopped. */
export class BodyReceiver {
	/** Set while the body is received: most requests have none. */
	#stopped: AbortController | undefined;
	#stopReason: Rejection | undefined;

	/** @param deadlineAtMs deadline of the request, monotonic ms. */
	constructor(private readonly deps: BodyReceiverDeps, private readonly req: IncomingMessage, private readonly holding: RequestHolding, private readonly deadlineAtMs: number) {}

	async receive(): Promise<ReceivedBody> {
		if (!hasBody(this.req)) {
			return {body: undefined, rejection: undefined};
		}

		const {clock, maxBodyBytes, heldBytes, pacer} = this.deps;
		this.#stopped = new AbortController();
		const timer = clock.after(Math.max(1, this.deadlineAtMs - clock.monotonic()), () => {
			this.stop(createLateBodyRejection());
		});
		const body = await readBody(this.req, {
			maxBytes: maxBodyBytes(), held: heldBytes, holding: this.holding, pacer, signal: this.#stopped.signal,
		});
		timer.cancel();
		return {body, rejection: this.#createRejection(body)};
	}

	/** Waits no longer for the body; has no effect once it was received. */
	stop(reason: Rejection): void {
		this.#stopReason ??= reason;
		this.#stopped?.abort();
	}

	#createRejection({result}: RequestBody): Rejection | undefined {
		switch (result) {
			case BodyReadResult.Complete:
			case BodyReadResult.Unbuffered: {
				return undefined;
			}

			case BodyReadResult.Stopped: {
				return this.#stopReason;
			}

			case BodyReadResult.TooLong: {
				return {code: RejectionCode.BodyTooLong, status: 413, message: `request body exceeds the limit of ${this.deps.maxBodyBytes()} bytes`};
			}

			case BodyReadResult.Broken: {
				return {code: RejectionCode.BodyBroken, status: 400, message: 'request body ended before it was complete'};
			}
		}
	}
}
