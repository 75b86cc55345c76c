import type {Buffer} from 'node:buffer';
import type {Clock} from '@apricotwood/clock';
import type {LoadTracker, ObjectCacheModel} from '@apricotwood/steering';
import type {Log, Metrics} from '@apricotwood/telemetry';
import type {HostEntry} from '../source.js';
import type {Address} from './channel.js';
import {
	decodeHeartbeat, type Heartbeat, type ObservedHost, type ZoneSummary,
} from './heartbeat-codec.js';
import type {HeartbeatSender} from './heartbeat-sender.js';
import type {HostEntryQueue} from './host-entry-queue.js';
import type {Member, MemberList} from './members.js';
import type {RelaySelector} from './relays.js';
import {isReport} from './report-codec.js';
import type {PeerReports} from './reports.js';
import type {StateFollower} from './state-follower.js';
import type {ZoneSummaries} from './zone-summaries.js';

/** Dependencies of a `HeartbeatReceiver`. */
export type HeartbeatReceiverDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly members: MemberList;
	readonly load: LoadTracker;
	readonly objectCaches: ObjectCacheModel;
	readonly reports: PeerReports;
	readonly relaySelector: RelaySelector;
	readonly zoneSummaries: ZoneSummaries;
	readonly hostEntries: HostEntryQueue;
	readonly sender: HeartbeatSender;
	readonly stateFollower: StateFollower;
};

/** Handles the messages of other hosts: records their entries, status and load, and forwards heartbeats if this host is a relay. */
export class HeartbeatReceiver {
	constructor(private readonly deps: HeartbeatReceiverDeps) {}

	/** Handles a message, which is a report or a heartbeat. @param from address of the host that sent or forwarded it. @param signal ends what the message starts. */
	receive(bytes: Buffer, from: Address, signal: AbortSignal): void {
		if (isReport(bytes)) {
			this.deps.reports.receive(bytes);
			return;
		}

		const heartbeat = decodeHeartbeat(bytes);
		if (!heartbeat) {
			this.deps.metrics.count('beats.unreadable');
			return;
		}

		const started = heartbeat.hostEntries.filter(entry => this.#handleHostEntry(entry, from));
		const member = this.deps.members.find(heartbeat.senderHash);
		if (!member) {
			return;
		}

		const isDirect = isAddressOf(member.entry, from);
		this.#handleHeartbeat(member, heartbeat, isDirect);
		if (started.length > 0) {
			this.deps.reports.repeat();
			this.deps.sender.sendReports();
		}

		this.deps.stateFollower.compare(member, heartbeat, isDirect, signal);
		if (isDirect) {
			this.#forward(member, bytes);
		}
	}

	/** @returns whether the host has started, or is not known yet. */
	#handleHostEntry(entry: HostEntry, from: Address): boolean {
		const {members, log, clock, sender, relaySelector, hostEntries} = this.deps;
		if (!members.put(entry)) {
			return false;
		}

		log.info({event: 'host', host: entry.id, zone: entry.zone, startedMs: entry.startedMs});
		if (isAddressOf(entry, from)) {
			sender.announceTo(from);
		}

		if (relaySelector.isRelay(clock.monotonic())) {
			hostEntries.add(entry);
		}

		return true;
	}

	#handleHeartbeat(member: Member, heartbeat: Heartbeat, isDirect: boolean): void {
		const {clock, load, objectCaches} = this.deps;
		const nowMs = clock.monotonic();
		this.#recordHostStatus(member, heartbeat, nowMs);
		load.recordPeer(member.entry.id, heartbeat.loads, nowMs);
		objectCaches.recordAll(heartbeat.sentRequests);
		if (isDirect) {
			this.#recordDirect(member, heartbeat, nowMs);
		}

		if (heartbeat.zone) {
			this.#handleZoneSummary(member.entry.zone, heartbeat.zone, nowMs);
		}
	}

	/** Records what only a heartbeat that was not forwarded tells. */
	#recordDirect(member: Member, {sentRequests}: Heartbeat, nowMs: number): void {
		member.lastDirectAtMs = nowMs;
		if (member.entry.zone === this.deps.members.self.zone) {
			this.deps.zoneSummaries.recordSentRequests(sentRequests);
		}
	}

	#recordHostStatus(member: Member, {isReady, isSourceFailing}: Pick<ObservedHost, 'isReady' | 'isSourceFailing'>, seenAtMs: number): void {
		const {members, log, clock} = this.deps;
		if (seenAtMs <= member.lastSeenAtMs) {
			return;
		}

		if (!members.isAlive(member, clock.monotonic())) {
			log.info({event: 'host-heard', host: member.entry.id});
		}

		member.lastSeenAtMs = seenAtMs;
		member.isReady = isReady;
		member.isSourceFailing = isSourceFailing;
	}

	/** Records what a relay reports about the other hosts of its zone. */
	#handleZoneSummary(zone: string, summary: ZoneSummary, nowMs: number): void {
		const {members, zoneSummaries, sender} = this.deps;
		for (const host of summary.observedHosts) {
			const member = members.find(host.hash);
			if (member) {
				this.#recordHostStatus(member, host, nowMs - host.ageMs);
			}
		}

		zoneSummaries.apply(zone, summary, sender.lastSentLoads, nowMs);
	}

	/** Forwards a heartbeat received directly from a host of another zone to the hosts of this zone that depend on this relay for it. */
	#forward(origin: Member, bytes: Buffer): void {
		const {members, relaySelector, clock, sender} = this.deps;
		if (origin.entry.zone !== members.self.zone) {
			sender.forward(relaySelector.getForwardTargets(origin, clock.monotonic()), bytes);
		}
	}
}

function isAddressOf({ip, peerPort}: HostEntry, address: Address): boolean {
	return ip === address.ip && peerPort === address.port;
}
