import type {Clock} from '@apricotwood/clock';
import {EvictionReason, type CloseHandler} from './eviction.js';
import type {IntakeLimits} from './intake-limits.js';
import {PeerConnection} from './peer-connection.js';

/** Ratio of the limit down to which bytes are freed at once, so that not every further byte asks again. */
const LOW_WATER_RATIO = 7 / 8;

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
