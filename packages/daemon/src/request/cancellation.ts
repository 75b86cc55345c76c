/** Why signals of requests are aborted; one error for all, since each new one costs a stack trace. */
const ABORT_REASON = new Error('the request has ended');

/**
 * Tells the parts of a request that its caller has left or that it is over.
 * The signal is made only for those who ask for it: most requests never do.
 */
export class Cancellation {
	#isCancelled = false;
	#controller: AbortController | undefined;
	/** What to do at once, beside aborting the signal. */
	onCancel: (() => void) | undefined;

	get isCancelled(): boolean {
		return this.#isCancelled;
	}

	get signal(): AbortSignal {
		if (!this.#controller) {
			this.#controller = new AbortController();
			if (this.#isCancelled) {
				this.#controller.abort(ABORT_REASON);
			}
		}

		return this.#controller.signal;
	}

	cancel(): void {
		if (this.#isCancelled) {
			return;
		}

		this.#isCancelled = true;
		this.#controller?.abort(ABORT_REASON);
		this.onCancel?.();
	}
}
