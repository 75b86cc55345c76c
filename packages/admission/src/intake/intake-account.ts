import type {Clock} from '@apricotwood/clock';
import type {IntakeLimits} from './intake-limits.js';

/** What a peer's connection gives way for. The values are part of the log format. */
export enum EvictionReason {
	/** The peers hold too many bytes. */
	HeldBytes = 'held-bytes',
	/** The peers hold too many connections. */
	Connections = 'connections',
	/** The peer sends more than a request head may have. */
	EndlessHead = 'endless-head',
	/** The peer sends on for too long after its request was answered. */
	EndlessBody = 'endless-body',
	/** The peer takes no part of its response. */
	UntakenResponse = 'untaken-response',
}

/** Called when a connection has to be closed at once. */
export type CloseHandler = (reason: EvictionReason) => void;
/** Ends a request whose connection gives way. @returns whether its peer gets an answer. */
export type EvictionHandler = (reason: EvictionReason) => boolean;

/** Memory of one request beside its body, until its response has been handed over to the network, bytes. */
const REQUEST_BYTES = 32 * 1024;
/** Ratio of the limit down to which bytes are freed at once, so that not every further byte asks again. */
const LOW_WATER_RATIO = 7 / 8;
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

/**
 * Counts what the peers of all listeners make a process hold, and decides whose
 * connection gives way when that is too much: the one that holds most for the longest
 * time while its peer is waited for.
 */
export class IntakeAccount {
	readonly #connections = new Set<PeerConnection>();
	#heldBytes = 0;

	constructor(private readonly clock: Clock, readonly limits: IntakeLimits) {}

	/** Bytes that all peers hold. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** Connections of all peers. */
	get connectionCount(): number {
		return this.#connections.size;
	}

	/** Counts a new connection; if there are too many, one gives way, at worst the new one. */
	open(onEvicted: CloseHandler): PeerConnection {
		const connection = new PeerConnection(this.clock, onEvicted, {
			onHold: bytes => {
				this.#heldBytes += bytes;
				if (bytes > 0 && this.#heldBytes > this.limits.maxHeldBytes) {
					this.#freeBytes();
				}
			},
			onClose: () => {
				this.#connections.delete(connection);
			},
		});
		this.#connections.add(connection);
		if (this.#connections.size > this.limits.maxConnections) {
			(this.#findLongestWaiting() ?? connection).evict(EvictionReason.Connections);
		}

		return connection;
	}

	#freeBytes(): void {
		const candidates = Array.from(this.#connections, connection => ({connection, weight: connection.byteWeight}))
			.filter(({weight}) => weight > 0)
			.toSorted((a, b) => b.weight - a.weight);
		for (const {connection} of candidates) {
			connection.evict(EvictionReason.HeldBytes);
			if (this.#heldBytes <= this.limits.maxHeldBytes * LOW_WATER_RATIO) {
				return;
			}
		}
	}

	#findLongestWaiting(): PeerConnection | undefined {
		let longest: PeerConnection | undefined;
		let longestWeight = 0;
		for (const connection of this.#connections) {
			const weight = connection.waitWeight;
			if (weight > longestWeight) {
				longest = connection;
				longestWeight = weight;
			}
		}

		return longest;
	}
}

type AccountListener = {
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
