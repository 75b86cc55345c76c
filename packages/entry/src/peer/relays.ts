import type {Member, Members} from './members.js';

/** Hosts of each availability zone that pass on between zones. */
const RELAYS = 2;
/** A relay that is silent for longer than this is stood in for, ms. */
const RELAY_SILENCE_MS = 700;
/** Silent hosts of each other zone that are tried in one search. */
const SEARCHED = 4;

/** Whom a host speaks to with one of its regular beats. */
export type Audience = {
	readonly isRelay: boolean;
	readonly members: readonly Member[];
};

/**
 * Chooses who passes on what hosts tell each other. In each availability zone
 * the first two living hosts by hash are relays: they hear all hosts of their
 * zone, tell the relays of the other zones, and pass on what those tell. So a
 * zone with one or two hosts speaks directly to all others, and the messages
 * that a host gets grow with the number of zones, not of hosts.
 *
 * Every host chooses by what it hears itself, and nothing is agreed on: while
 * views differ, some messages go twice, or over the second relay alone.
 */
export class Relays {
	constructor(private readonly members: Members) {}

	/** Whether this host is a relay of its zone. */
	isRelay(nowMs: number): boolean {
		return this.#rank(nowMs) < RELAYS;
	}

	/** Relays of an availability zone besides this host, in order; hosts of which nothing is heard are left out. */
	of(zone: string, nowMs: number): Member[] {
		const living = this.members.ofZone(zone).filter(member => isSpeaking(member, nowMs));
		const isOneOfThem = zone === this.members.self.zone && this.isRelay(nowMs);
		return living.slice(0, isOneOfThem ? RELAYS - 1 : RELAYS);
	}

	/**
	 * Hosts that a regular beat goes to.
	 * @param search number of the search; silent hosts are then tried as well, in turn, so that they are found again when they return.
	 */
	audience(nowMs: number, search: number | undefined): Audience {
		const {self} = this.members;
		const isRelay = this.isRelay(nowMs);
		if (!isRelay) {
			return {isRelay, members: this.of(self.zone, nowMs)};
		}

		const members = this.members.ofZone(self.zone).filter(member => search !== undefined || this.members.isAlive(member, nowMs));
		for (const zone of this.members.zones()) {
			if (zone !== self.zone) {
				members.push(...this.#speakersOf(zone, nowMs, search));
			}
		}

		return {isRelay, members};
	}

	/** Hosts of this zone to which this relay passes on what it hears directly from a relay of another zone. */
	listeners(origin: Member, nowMs: number): Member[] {
		const rank = this.#rank(nowMs);
		if (rank >= RELAYS) {
			return [];
		}

		// Each of the two passes on one of the other zone's two, so that nobody gets all of it twice.
		const origins = this.of(origin.entry.zone, nowMs);
		const isMine = origins.length < RELAYS || origins[rank]?.hash === origin.hash || this.of(this.members.self.zone, nowMs).length === 0;
		return isMine ? this.dependants(nowMs) : [];
	}

	/** Hosts of this zone that hear of other zones by relays only. */
	dependants(nowMs: number): Member[] {
		if (!this.isRelay(nowMs)) {
			return [];
		}

		const {zone} = this.members.self;
		const own = this.of(zone, nowMs);
		return this.members.ofZone(zone).filter(member => isSpeaking(member, nowMs) && !own.includes(member));
	}

	/** Number of hosts of this zone that are heard and come before this one. */
	#rank(nowMs: number): number {
		const {hash, self} = this.members;
		return this.members.ofZone(self.zone).filter(member => member.hash < hash && isSpeaking(member, nowMs)).length;
	}

	#speakersOf(zone: string, nowMs: number, search: number | undefined): Member[] {
		const living = this.of(zone, nowMs);
		if (living.length === RELAYS || search === undefined) {
			return living;
		}

		const silent = this.members.ofZone(zone).filter(member => !living.includes(member));
		const from = silent.length > SEARCHED ? (search * SEARCHED) % silent.length : 0;
		return [...living, ...[...silent.slice(from), ...silent.slice(0, from)].slice(0, SEARCHED)];
	}
}

function isSpeaking({heardAtMs}: Member, nowMs: number): boolean {
	return nowMs - heardAtMs < RELAY_SILENCE_MS;
}
