import type {Clock} from '@apricotwood/clock';
import {EvictionReason, type CloseHandler} from './eviction.js';
import {RequestHolding} from './request-holding.js';

/** Memory of one request beside its body, until its response has been handed over to the network, bytes. */
const REQUEST_BYTES = 32 * 1024;
/** Requests of one connection that are served at a time; one with more that gives way is closed instead of answered. */
export const MAX_SERVED_REQUESTS = 16;
/** Weight of the bytes of a request that has arrived whole: this host, not the peer, is what it waits for. */
const SERVING_WEIGHT = 1 / 16;
/** Weight of the age of a connection whose peer has not shown a whole request yet, when connections give way to new ones. */
const STALLED_WEIGHT = 4;
/** The same between two requests. */
const IDLE_WEIGHT = 1;
/** The same while a body arrives. */
const RECEIVING_WEIGHT = 1 / 4;

/** Receives what changes in the count of a connection. */
export type AccountListener = {
	/** Called when a connection holds more, or less if `bytes` is negative. */
	readonly onHold: (bytes: number) => void;
	/** Called when a connection does not count any more. */
	readonly onClose: () => void;
};

/** What one peer holds by a connection. */
export class PeerConnection {
	readonly #requests = new Set<RequestHolding>();
	/** Since when it is idle, or its requests are in flight, monotonic ms. */
	#sinceMs: number;
	#heldBytes = 0;
	/** Bytes beside its requests, by part. */
	readonly #parts = {
		/** Wait for this process to read them. */
		unread: 0,
		/** Belong to a head that has not ended. */
		head: 0,
		/** Are of responses that the peer has not taken. */
		untaken: 0,
	};

	#hasServed = false;
	/** Whether its requests were ended for what they held; they hold nothing any more. */
	#hasGivenWay = false;
	#isClosed = false;

	constructor(private readonly clock: Clock, private readonly onEvicted: CloseHandler, private readonly listener: AccountListener) {
		this.#sinceMs = clock.monotonic();
	}

	/** Number of requests whose responses have not been handed over to the network. */
	get requestCount(): number {
		return this.#requests.size;
	}

	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** Whether a request of the connection has been answered. */
	get hasServed(): boolean {
		return this.#hasServed;
	}

	/** Whether the connection does not count any more. */
	get isClosed(): boolean {
		return this.#isClosed;
	}

	/** How much the bytes of this connection should give way: their number times the time for which they are held, less if the peer is not what they wait for. */
	get byteWeight(): number {
		return this.#heldBytes * (this.#ageMs + 1) * (this.#isPeerAwaited ? 1 : SERVING_WEIGHT);
	}

	/** How much this connection should give way to a new one; 0 while a whole request is served. */
	get waitWeight(): number {
		if (this.#requests.size > 0 && !this.#hasGivenWay) {
			return this.#isPeerAwaited ? this.#ageMs * RECEIVING_WEIGHT : 0;
		}

		return this.#ageMs * (this.#hasServed && this.#parts.head === 0 ? IDLE_WEIGHT : STALLED_WEIGHT);
	}

	/** Counts a request whose head has arrived. @param hasBody whether a body has yet to arrive. */
	begin(hasBody: boolean): RequestHolding {
		if (this.#requests.size === 0) {
			this.#sinceMs = this.clock.monotonic();
			this.setHead(0);
		} else if (this.#hasGivenWay) {
			this.evict(EvictionReason.HeldBytes);
		}

		const holding = new RequestHolding(hasBody, bytes => {
			this.#hold(bytes);
		}, () => {
			this.#end(holding);
		});
		this.#requests.add(holding);
		holding.hold(REQUEST_BYTES);
		return holding;
	}

	/** Sets the bytes that have arrived of the next head. */
	setHead(bytes: number): void {
		this.#setPart('head', bytes);
	}

	/** Sets the bytes that wait for this process to read them. */
	setUnread(bytes: number): void {
		this.#setPart('unread', bytes);
	}

	/** Sets the bytes of responses that wait for the peer to take them. */
	setUntaken(bytes: number): void {
		this.#setPart('untaken', bytes);
	}

	/** Makes the connection give way: its requests are ended, and answered if that frees what is needed; otherwise it is closed. */
	evict(reason: EvictionReason): void {
		if (this.#isClosed) {
			return;
		}

		if (reason === EvictionReason.HeldBytes && this.#endRequests(reason)) {
			return;
		}

		this.close();
		this.onEvicted(reason);
	}

	/** Ends the count of the connection, and of all that it holds. */
	close(): void {
		if (this.#isClosed) {
			return;
		}

		this.#hold(-this.#heldBytes);
		this.#isClosed = true;
		for (const request of this.#requests) {
			request.onEnd();
		}

		this.#requests.clear();
		this.listener.onClose();
	}

	get #ageMs(): number {
		return this.clock.monotonic() - this.#sinceMs;
	}

	get #isPeerAwaited(): boolean {
		if (this.#requests.size === 0 || this.#parts.untaken > 0) {
			return true;
		}

		for (const {isReceiving} of this.#requests) {
			if (isReceiving) {
				return true;
			}
		}

		return false;
	}

	/** @returns whether all of them are answered, and nothing is held any more. */
	#endRequests(reason: EvictionReason): boolean {
		const {size} = this.#requests;
		if (this.#hasGivenWay || this.#parts.untaken > 0 || size === 0 || size > MAX_SERVED_REQUESTS) {
			return false;
		}

		this.#hold(-this.#heldBytes);
		this.#parts.head = 0;
		this.#parts.unread = 0;
		this.#hasGivenWay = true;
		return Array.from(this.#requests, request => request.onEvict(reason)).every(Boolean);
	}

	get #isCounted(): boolean {
		return !this.#isClosed && !this.#hasGivenWay;
	}

	#setPart(part: 'head' | 'unread' | 'untaken', bytes: number): void {
		if (this.#isCounted) {
			this.#hold(bytes - this.#parts[part]);
			this.#parts[part] = bytes;
		}
	}

	#hold(bytes: number): void {
		if (this.#isCounted && bytes !== 0) {
			this.#heldBytes += bytes;
			this.listener.onHold(bytes);
		}
	}

	#end(holding: RequestHolding): void {
		this.#requests.delete(holding);
		this.#hasServed = true;
		if (this.#requests.size === 0) {
			this.#hasGivenWay = false;
			this.#sinceMs = this.clock.monotonic();
		}
	}
}
