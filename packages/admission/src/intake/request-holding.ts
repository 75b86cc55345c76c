import type {EvictionHandler} from './eviction.js';

/** Counts what a body makes its connection hold. */
export interface BodyHolding {
	/** The body is read by a part that counts its bytes, from now on. */
	beginBody(): void;
	/** The whole body has arrived, or it is waited for no longer. */
	endBody(): void;
	/** Counts bytes that are held from now on, or no more if `bytes` is negative. */
	hold(bytes: number): void;
}

/** What one request holds, from the arrival of its head until its response has been handed over to the network. */
export class RequestHolding implements BodyHolding {
	#bytes = 0;
	#isReleased = false;
	#isReceiving: boolean;
	#isBodyCounted = false;
	/** Bytes of a body that is read by a part which does not count them. */
	#uncountedBytes = 0;
	/** Called when the connection gives way. */
	onEvict: EvictionHandler = () => false;
	/** Called when the response has been handed over to the network, or the connection has ended before. */
	onEnd: () => void = () => {};
	/** Resolves when the request may be served; `undefined` if it may at once. Never resolves once the connection has ended. */
	turn: Promise<void> | undefined;

	/** @param hasBody whether a body has yet to arrive. */
	constructor(hasBody: boolean, private readonly onHold: (bytes: number) => void, private readonly onRelease: () => void) {
		this.#isReceiving = hasBody;
	}

	/** Whether the peer has not sent the whole body. */
	get isReceiving(): boolean {
		return this.#isReceiving;
	}

	beginBody(): void {
		this.setUncounted(0);
		this.#isBodyCounted = true;
		this.#isReceiving = true;
	}

	endBody(): void {
		this.#isReceiving = false;
	}

	/** Sets the bytes that have arrived of a body, unless the part that reads it counts them. */
	setUncounted(bytes: number): void {
		if (!this.#isBodyCounted) {
			this.hold(bytes - this.#uncountedBytes);
			this.#uncountedBytes = bytes;
		}
	}

	hold(bytes: number): void {
		if (!this.#isReleased) {
			this.#bytes += bytes;
			this.onHold(bytes);
		}
	}

	/** Ends the request: it holds nothing any more. */
	release(): void {
		if (!this.#isReleased) {
			this.hold(-this.#bytes);
			this.#isReleased = true;
			this.onRelease();
			this.onEnd();
		}
	}
}
