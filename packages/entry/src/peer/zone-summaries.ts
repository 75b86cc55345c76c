import type {LoadTracker, ObjectCacheModel} from '@apricotwood/steering';
import type {ObservedHost, ZoneSummary} from './heartbeat-codec.js';
import type {MemberList} from './members.js';
import type {RelaySelector} from './relays.js';

/** Dependencies of `ZoneSummaries`. */
export type ZoneSummariesDeps = {
	readonly members: MemberList;
	readonly load: LoadTracker;
	readonly objectCaches: ObjectCacheModel;
	readonly relaySelector: RelaySelector;
};

/** Number of requests of the zone's other hosts, as (worker, object) pairs, in one summary at which no further ones are added. */
const MAX_SENT_REQUESTS = 400;

/** Summarizes the other hosts of this host's zone for the hosts that hear of them only through a relay, and records such summaries. */
export class ZoneSummaries {
	/** Requests sent by the zone's other hosts since the last `clear`, as worker hash and object hash pairs. */
	#sentRequests: number[] = [];

	constructor(private readonly deps: ZoneSummariesDeps) {}

	/** Records requests that another host of the zone has sent, to be included in the next summary. */
	recordSentRequests(sentRequests: readonly number[]): void {
		if (this.#sentRequests.length < MAX_SENT_REQUESTS * 2) {
			this.#sentRequests.push(...sentRequests);
		}
	}

	/** Summarizes what this host observes directly of its zone, with the requests since the last `clear`. Uses only the times of heartbeats received directly, not those learned from another relay's summary, so that ages are not relayed repeatedly. */
	create(nowMs: number): ZoneSummary {
		const {members, load, relaySelector} = this.deps;
		const {zone} = members.self;
		const relays = relaySelector.getRelays(zone, nowMs);
		const observedHosts: ObservedHost[] = [];
		const nonRelayIds: string[] = [];
		for (const member of members.inZone(zone)) {
			const ageMs = nowMs - member.lastDirectAtMs;
			if (!Number.isFinite(ageMs) || !members.isAlive(member, nowMs)) {
				continue;
			}

			observedHosts.push({
				hash: member.hash, isReady: member.isReady, isSourceFailing: member.isSourceFailing, ageMs,
			});
			if (!relays.includes(member)) {
				nonRelayIds.push(member.entry.id);
			}
		}

		return {observedHosts, loads: load.sumPeers(nonRelayIds, nowMs), sentRequests: this.#sentRequests};
	}

	/** Forgets the recorded requests, after a heartbeat that includes them; a host that is no relay keeps none for later. */
	clear(): void {
		this.#sentRequests = [];
	}

	/** Records the loads and the requests of a summary. @param ownLoads this host's requests as of its last heartbeat, by worker hash. */
	apply(zone: string, summary: ZoneSummary, ownLoads: ReadonlyMap<number, number>, nowMs: number): void {
		const {members, load, objectCaches, relaySelector} = this.deps;
		objectCaches.recordAll(summary.sentRequests);
		const loadKey = getZoneLoadKey(zone);
		if (zone !== members.self.zone) {
			load.recordPeer(loadKey, summary.loads, nowMs);
		} else if (relaySelector.isRelay(nowMs)) {
			// A relay receives the heartbeats of its zone's hosts directly.
			load.dropPeer(loadKey);
		} else {
			this.#dropNonRelayLoads(summary.observedHosts, nowMs);
			// The summary includes this host's own requests, which are counted locally.
			load.recordPeer(loadKey, subtractLoads(summary.loads, ownLoads), nowMs);
		}
	}

	/** Drops the loads that this host recorded per host while it was a relay; the zone summary now includes them. */
	#dropNonRelayLoads(observedHosts: readonly ObservedHost[], nowMs: number): void {
		const {members, load, relaySelector} = this.deps;
		const relays = relaySelector.getRelays(members.self.zone, nowMs);
		for (const {hash} of observedHosts) {
			const member = members.find(hash);
			if (member && !relays.includes(member)) {
				load.dropPeer(member.entry.id);
			}
		}
	}
}

/** Returns the key under which the summed load of a zone's non-relay hosts is recorded. */
function getZoneLoadKey(zone: string): string {
	return `zone:${zone}`;
}

/** Subtracts the counts of `own` from `loads`; workers without remaining requests are left out. */
function subtractLoads(loads: ReadonlyMap<number, number>, own: ReadonlyMap<number, number>): Map<number, number> {
	const remainder = new Map<number, number>();
	for (const [worker, count] of loads) {
		const remaining = count - (own.get(worker) ?? 0);
		if (remaining > 0) {
			remainder.set(worker, remaining);
		}
	}

	return remainder;
}
