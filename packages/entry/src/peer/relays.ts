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
		const {hash, self} = this.members;
		let before = 0;
		for (const member of this.members.ofZone(self.zone)) {
			if (member.hash < hash && isSpeaking(member, nowMs)) {
				before++;
			}
		}

		return before < RELAYS;
	}

	/** Relays of an availability zone besides this host, in order; hosts of which nothing is heard are left out. */
	of(zone: string, nowMs: number): Member[] {
		const living = this.members.ofZone(zone).filter(member => isSpeaking(member, nowMs));
		const {self, hash} = this.members;
		if (zone !== self.zone) {
			return living.slice(0, RELAYS);
		}

		const before = living.filter(member => member.hash < hash).length;
		return living.slice(0, before < RELAYS ? RELAYS - 1 : RELAYS);
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
		const {self} = this.members;
		const own = this.of(self.zone, nowMs);
		if (!this.isRelay(nowMs)) {
			return [];
		}

		// Each of the two passes on one of the other zone's two, so that nobody gets all of it twice.
		const index = own.filter(({hash}) => hash < this.members.hash).length;
		const origins = this.of(origin.entry.zone, nowMs);
		const isMine = own.length === 0 || origins.length < RELAYS || origins[index]?.hash === origin.hash;
		return isMine ? this.members.ofZone(self.zone).filter(member => isSpeaking(member, nowMs) && !own.includes(member)) : [];
	}

	/** Hosts of this zone that hear of other zones by relays only. */
	dependants(nowMs: number): Member[] {
		const {self} = this.members;
		const own = this.of(self.zone, nowMs);
		return this.isRelay(nowMs) ? this.members.ofZone(self.zone).filter(member => isSpeaking(member, nowMs) && !own.includes(member)) : [];
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
