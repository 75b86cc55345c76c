import type {Buffer} from 'node:buffer';
import type {Clock} from '@apricotwood/clock';
import type {LoadTracker} from '@apricotwood/steering';
import type {ReplicatedState} from '../state/replicated-state.js';
import type {Address, DatagramChannel} from './channel.js';
import {encodeHeartbeat, type Heartbeat, type ZoneSummary} from './heartbeat-codec.js';
import type {HostEntryQueue} from './host-entry-queue.js';
import type {Member, MemberList} from './members.js';
import type {Recipients, RelaySelector} from './relays.js';
import type {PeerReports} from './reports.js';
import type {ZoneSummaries} from './zone-summaries.js';

/** Dependencies of a `HeartbeatSender`. */
export type HeartbeatSenderDeps = {
	readonly clock: Clock;
	readonly members: MemberList;
	readonly state: ReplicatedState;
	readonly load: LoadTracker;
	readonly reports: PeerReports;
	readonly channel: DatagramChannel;
	readonly relaySelector: RelaySelector;
	readonly zoneSummaries: ZoneSummaries;
	readonly hostEntries: HostEntryQueue;
	readonly isReady: () => boolean;
	readonly isSourceFailing: () => boolean;
};

/** Every n-th heartbeat of a relay is also sent to hosts of its zone that are not alive, and to some hosts of zones that have fewer than two responsive relays. */
const PROBE_PERIOD_HEARTBEATS = 3;
/** Maximum number of this host's own requests, as (worker, object) pairs, in one heartbeat; later ones are dropped. */
const MAX_SENT_REQUESTS = 200;

/** Sends this host's heartbeats, load reports and other reports to the recipients that the relay selection gives. */
export class HeartbeatSender {
	/** Number of heartbeats sent by `send`. */
	#heartbeatCount = 0;
	/** Requests sent by this host since its last heartbeat, as worker hash and object hash pairs. */
	#sentRequests: number[] = [];
	#lastSentLoads: ReadonlyMap<number, number> = new Map();
	/** Whether the last load report had no requests. */
	#isIdle = true;

	constructor(private readonly deps: HeartbeatSenderDeps) {}

	/** This host's running requests as of its last heartbeat, by worker hash. */
	get lastSentLoads(): ReadonlyMap<number, number> {
		return this.#lastSentLoads;
	}

	/** Records that a request for an object was sent to a worker, to be included in the next heartbeat. */
	recordSentRequest(workerHash: number, objectHash: number): void {
		if (this.#sentRequests.length < MAX_SENT_REQUESTS * 2) {
			this.#sentRequests.push(workerHash, objectHash);
		}
	}

	/** Sends a heartbeat immediately, followed by what there is to report. */
	send(): void {
		const nowMs = this.deps.clock.monotonic();
		const recipients = this.deps.relaySelector.selectRecipients(nowMs, this.#getProbeRound());
		const hostEntries = this.deps.hostEntries.take(this.#heartbeatCount);
		const heartbeat = {...this.#takeRequests(this.#summarizeZone(recipients, nowMs)), hostEntries};
		const alive = this.#listAlive(recipients, nowMs);
		this.#sendHeartbeat(alive, heartbeat);
		this.#sendReportsTo(alive, nowMs);
		const silent = recipients.members.filter(member => !this.deps.members.isAlive(member, nowMs));
		this.#sendHeartbeat(silent, this.#addSelf(heartbeat));
		this.#heartbeatCount++;
	}

	/** Sends the present load to the live recipients of heartbeats, unless there is none and the last report had none. */
	sendLoadReport(): void {
		const nowMs = this.deps.clock.monotonic();
		const recipients = this.deps.relaySelector.selectRecipients(nowMs, undefined);
		const zone = this.#summarizeZone(recipients, nowMs);
		const wasIdle = this.#isIdle;
		this.#isIdle = this.deps.load.getOwnCounts().size === 0 && (zone === undefined || zone.loads.size === 0);
		if (wasIdle && this.#isIdle) {
			return;
		}

		this.#sendHeartbeat(this.#listAlive(recipients, nowMs), this.#takeRequests(zone));
	}

	/** Sends what there is to report without waiting for the next heartbeat. */
	sendReports(): void {
		const nowMs = this.deps.clock.monotonic();
		const recipients = this.deps.relaySelector.selectRecipients(nowMs, undefined);
		this.#sendReportsTo(this.#listAlive(recipients, nowMs), nowMs);
	}

	/** Sends a heartbeat to the zone's non-relay hosts, which depend on relays for the freshness of the state. */
	notifyNonRelays(): void {
		const nonRelays = this.deps.relaySelector.getNonRelays(this.deps.clock.monotonic());
		if (nonRelays.length > 0) {
			this.#sendHeartbeat(nonRelays, this.#createHeartbeat());
		}
	}

	/** Sends a heartbeat with this host's entry to an address whose host may not know this one. */
	announceTo(address: Address): void {
		this.deps.channel.send(encodeHeartbeat(this.#addSelf(this.#createHeartbeat())), address);
	}

	/** Sends the bytes of another host's heartbeat on, unchanged. */
	forward(members: readonly Member[], bytes: Buffer): void {
		this.#sendBytes(members, bytes);
	}

	/** Returns the number of the probe round if the next heartbeat starts one. */
	#getProbeRound(): number | undefined {
		return this.#heartbeatCount % PROBE_PERIOD_HEARTBEATS === 0 ? this.#heartbeatCount / PROBE_PERIOD_HEARTBEATS : undefined;
	}

	#summarizeZone({isRelay}: Recipients, nowMs: number): ZoneSummary | undefined {
		return isRelay ? this.deps.zoneSummaries.create(nowMs) : undefined;
	}

	#listAlive(recipients: Recipients, nowMs: number): Member[] {
		return recipients.members.filter(member => this.deps.members.isAlive(member, nowMs));
	}

	#createHeartbeat(): Heartbeat {
		const {state, load, members, isReady, isSourceFailing} = this.deps;
		this.#lastSentLoads = new Map(load.getOwnCounts());
		return {
			senderHash: members.hash,
			isReady: isReady(),
			isSourceFailing: isSourceFailing(),
			...state.reportStatus(),
			loads: this.#lastSentLoads,
			sentRequests: [],
			hostEntries: [],
			zone: undefined,
		};
	}

	/** Creates a heartbeat with the requests sent since the last one, which later heartbeats leave out. */
	#takeRequests(zone: ZoneSummary | undefined): Heartbeat {
		const heartbeat = {...this.#createHeartbeat(), sentRequests: this.#sentRequests, zone};
		this.#sentRequests = [];
		this.deps.zoneSummaries.clear();
		return heartbeat;
	}

	/** Adds this host's entry to a heartbeat, once. */
	#addSelf(heartbeat: Heartbeat): Heartbeat {
		const {self} = this.deps.members;
		const others = heartbeat.hostEntries.filter(({id}) => id !== self.id);
		return {...heartbeat, hostEntries: [...others, self]};
	}

	#sendReportsTo(members: readonly Member[], nowMs: number): void {
		// What is taken counts as told.
		if (members.length === 0) {
			return;
		}

		for (const message of this.deps.reports.create(nowMs)) {
			this.#sendBytes(members, message);
		}
	}

	#sendHeartbeat(members: readonly Member[], heartbeat: Heartbeat): void {
		if (members.length > 0) {
			this.#sendBytes(members, encodeHeartbeat(heartbeat));
		}
	}

	#sendBytes(members: readonly Member[], bytes: Buffer): void {
		for (const {entry: {ip, peerPort}} of members) {
			this.deps.channel.send(bytes, {ip, port: peerPort});
		}
	}
}
