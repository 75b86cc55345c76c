import type {Member, MemberList} from './members.js';

/** Number of hosts per availability zone that relay heartbeats between zones. */
const RELAYS_PER_ZONE = 2;
/** Time since a host was last seen alive after which it does not count as a relay and the next host replaces it, ms. */
const RELAY_TIMEOUT_MS = 700;
/** Maximum number of hosts that are probed in one round in each other zone with fewer than two responsive relays. */
const MAX_PROBED_PER_ZONE = 4;

/** Recipients of a heartbeat that this host sends. */
export type Recipients = {
	/** Whether this host is a relay and the heartbeat includes a zone summary. */
	readonly isRelay: boolean;
	readonly members: readonly Member[];
};

/**
 * Selects the relays of each availability zone and the recipients of
 * heartbeats. The first two responsive hosts of a zone by hash are its relays.
 * A relay receives the heartbeats of all hosts of its zone, sends its own
 * heartbeat to the relays of the other zones, and forwards the heartbeats of
 * those relays to the non-relay hosts of its zone. In a zone with one or two
 * hosts, every host is a relay. The number of messages that a non-relay host
 * receives therefore grows with the number of zones, not of hosts; that of a
 * relay also grows with the number of hosts in its zone.
 *
 * Each host selects by its own observations, without coordination. While the
 * views of hosts differ, some heartbeats are forwarded twice or not at all.
 */
export class RelaySelector {
	constructor(private readonly members: MemberList) {}

	/** Whether this host is a relay of its zone. */
	isRelay(nowMs: number): boolean {
		return this.#computeRank(nowMs) < RELAYS_PER_ZONE;
	}

	/** Returns the relays of an availability zone, without this host, ordered by hash; unresponsive hosts are skipped. */
	getRelays(zone: string, nowMs: number): Member[] {
		const responsive = this.members.inZone(zone).filter(member => isResponsive(member, nowMs));
		const isSelfRelay = zone === this.members.self.zone && this.isRelay(nowMs);
		return responsive.slice(0, isSelfRelay ? RELAYS_PER_ZONE - 1 : RELAYS_PER_ZONE);
	}

	/**
	 * Returns the recipients of a heartbeat.
	 * @param probeRound if set and this host is a relay, hosts of its zone that are not alive and some hosts of zones without two responsive relays are included as well, so that they are rediscovered when they return; the round number selects the hosts of the other zones.
	 */
	selectRecipients(nowMs: number, probeRound: number | undefined): Recipients {
		const {self} = this.members;
		const isRelay = this.isRelay(nowMs);
		if (!isRelay) {
			return {isRelay, members: this.getRelays(self.zone, nowMs)};
		}

		const members = this.members.inZone(self.zone).filter(member => probeRound !== undefined || this.members.isAlive(member, nowMs));
		for (const zone of this.members.zones()) {
			if (zone !== self.zone) {
				members.push(...this.#selectZoneRecipients(zone, nowMs, probeRound));
			}
		}

		return {isRelay, members};
	}

	/** Returns the hosts of this zone to which this host forwards a heartbeat received directly from `origin`, a host of another zone. */
	getForwardTargets(origin: Member, nowMs: number): Member[] {
		const rank = this.#computeRank(nowMs);
		if (rank >= RELAYS_PER_ZONE) {
			return [];
		}

		// If both zones have two relays, each relay of this zone forwards the heartbeats of the other zone's relay of the same rank, so that no host receives everything twice. Otherwise every relay forwards.
		const originRelays = this.getRelays(origin.entry.zone, nowMs);
		const isForwarder = originRelays.length < RELAYS_PER_ZONE || originRelays[rank]?.hash === origin.hash || this.getRelays(this.members.self.zone, nowMs).length === 0;
		return isForwarder ? this.getNonRelays(nowMs) : [];
	}

	/** Returns the responsive non-relay hosts of this zone, which depend on relays for information on other zones; empty if this host is not a relay. */
	getNonRelays(nowMs: number): Member[] {
		if (!this.isRelay(nowMs)) {
			return [];
		}

		const {zone} = this.members.self;
		const otherRelays = this.getRelays(zone, nowMs);
		return this.members.inZone(zone).filter(member => isResponsive(member, nowMs) && !otherRelays.includes(member));
	}

	/** Returns the number of responsive hosts of this zone with a lower hash than this one. */
	#computeRank(nowMs: number): number {
		const {hash, self} = this.members;
		return this.members.inZone(self.zone).filter(member => member.hash < hash && isResponsive(member, nowMs)).length;
	}

	#selectZoneRecipients(zone: string, nowMs: number, probeRound: number | undefined): Member[] {
		const relays = this.getRelays(zone, nowMs);
		if (relays.length === RELAYS_PER_ZONE || probeRound === undefined) {
			return relays;
		}

		const others = this.members.inZone(zone).filter(member => !relays.includes(member));
		const offset = others.length > MAX_PROBED_PER_ZONE ? (probeRound * MAX_PROBED_PER_ZONE) % others.length : 0;
		return [...relays, ...[...others.slice(offset), ...others.slice(0, offset)].slice(0, MAX_PROBED_PER_ZONE)];
	}
}

/** Whether the host was seen alive recently enough to act as a relay or to receive relayed heartbeats. */
function isResponsive({lastSeenAtMs}: Member, nowMs: number): boolean {
	return nowMs - lastSeenAtMs < RELAY_TIMEOUT_MS;
}
