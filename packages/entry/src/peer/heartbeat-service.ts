import type {Buffer} from 'node:buffer';
import {sleep, type Clock} from '@apricotwood/clock';
import type {
	LoadTracker, ObjectCacheModel, ReportInterval,
} from '@apricotwood/steering';
import type {Log, Metrics} from '@apricotwood/telemetry';
import type {HostEntry} from '../source.js';
import type {CatchUpResponse, CatchUpRequest, ReplicatedState} from '../state/replicated-state.js';
import type {Address, DatagramChannel} from './channel.js';
import type {Member, MemberList} from './members.js';
import {
	decodeHeartbeat, encodeHeartbeat, type Heartbeat, type ObservedHost, type ZoneSummary,
} from './heartbeat-codec.js';
import {HostEntryQueue} from './host-entry-queue.js';
import {RelaySelector} from './relays.js';
import {isReport} from './report-codec.js';
import type {PeerReports} from './reports.js';
import {ZoneSummaries} from './zone-summaries.js';

/** Time between two regular heartbeats, ms. */
const HEARTBEAT_INTERVAL_MS = 200;
/** Shortest time from a load report to the next heartbeat, including the interval before it, as a ratio of the report interval; a later report would add nothing to the heartbeat. */
const MIN_TIME_TO_HEARTBEAT_RATIO = 1.5;
/** Lower bound of the time between two load reports for each known host, ms. Bounds what a host receives, as every host sends reports. */
const REPORT_INTERVAL_PER_HOST_MS = 4;
/** Every n-th heartbeat of a relay is also sent to hosts of its zone that are not alive, and to some hosts of zones that have fewer than two responsive relays. */
const PROBE_PERIOD_HEARTBEATS = 5;
/** Maximum number of this host's own requests, as (worker, object) pairs, in one heartbeat; later ones are dropped. */
const MAX_SENT_REQUESTS = 200;
/** If the state becomes fresher by more than this in one step, a relay sends the non-relay hosts of its zone a heartbeat at once, ms. */
const MIN_FRESHNESS_GAIN_MS = 250;

/** Requests the changes after given revisions from a host. Rejects if the host does not respond. */
export interface CatchUpSource {
	since(host: HostEntry, request: CatchUpRequest): Promise<CatchUpResponse>;
}

export type HeartbeatServiceDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly members: MemberList;
	readonly state: ReplicatedState;
	readonly load: LoadTracker;
	readonly objectCaches: ObjectCacheModel;
	readonly reports: PeerReports;
	readonly channel: DatagramChannel;
	readonly catchUp: CatchUpSource;
	readonly isReady: () => boolean;
	readonly isSourceFailing: () => boolean;
	readonly reportInterval: ReportInterval;
};

/**
 * Sends and receives heartbeats: announces this host's status, load and
 * replication status, records those of the other hosts, and requests missing
 * changes from peers that are ahead. Between two regular heartbeats, load reports
 * follow as often as the duration of the requests demands. Reports, such as the
 * rate limits that workers name, follow a regular heartbeat in messages of their
 * own; urgent ones are sent between heartbeats.
 */
export class HeartbeatService {
	readonly #relaySelector: RelaySelector;
	readonly #zoneSummaries: ZoneSummaries;
	readonly #hostEntries: HostEntryQueue;
	#heartbeatCount = 0;
	/** Requests sent by this host since its last heartbeat, as worker hash and object hash pairs. */
	#sentRequests: number[] = [];
	/** This host's running requests as of its last heartbeat, by worker hash. */
	#lastSentLoads: ReadonlyMap<number, number> = new Map();
	/** Whether the last load report had no requests. */
	#isIdle = true;
	#isCatchingUp = false;

	constructor(private readonly deps: HeartbeatServiceDeps) {
		this.#relaySelector = new RelaySelector(deps.members);
		this.#hostEntries = new HostEntryQueue(deps.members);
		this.#zoneSummaries = new ZoneSummaries({...deps, relaySelector: this.#relaySelector});
	}

	/** Records that a request for an object was sent to a worker, to be included in the next heartbeat. */
	recordSentRequest(workerHash: number, objectHash: number): void {
		if (this.#sentRequests.length < MAX_SENT_REQUESTS * 2) {
			this.#sentRequests.push(workerHash, objectHash);
		}
	}

	/** Sends heartbeats and handles received ones until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, channel, members: {self}} = this.deps;
		await channel.open({ip: self.ip, port: self.peerPort}, (bytes, from) => {
			this.#receive(bytes, from);
		});
		try {
			while (!signal.aborted) {
				this.send();
				const nextMs = clock.monotonic() + HEARTBEAT_INTERVAL_MS;
				await this.#reportLoadUntil(nextMs, signal); // eslint-disable-line no-await-in-loop
			}
		} finally {
			channel.close();
		}
	}

	/** Sends load reports until a regular heartbeat is due. */
	async #reportLoadUntil(endMs: number, signal: AbortSignal): Promise<void> {
		const {clock, members, reportInterval} = this.deps;
		while (!signal.aborted) {
			const leftMs = endMs - clock.monotonic();
			const intervalMs = Math.max(reportInterval.ms, members.count * REPORT_INTERVAL_PER_HOST_MS);
			const isLast = leftMs < intervalMs * MIN_TIME_TO_HEARTBEAT_RATIO;
			await sleep(clock, Math.max(1, isLast ? leftMs : intervalMs), signal); // eslint-disable-line no-await-in-loop
			if (isLast) {
				return;
			}

			this.#sendLoadReport();
		}
	}

	/** Sends the present load to the live recipients of heartbeats, unless there is none and the last report had none. */
	#sendLoadReport(): void {
		const {members, clock, load} = this.deps;
		const nowMs = clock.monotonic();
		const recipients = this.#relaySelector.selectRecipients(nowMs, undefined);
		const zone = recipients.isRelay ? this.#zoneSummaries.create(nowMs) : undefined;
		const wasIdle = this.#isIdle;
		this.#isIdle = load.getOwnCounts().size === 0 && (zone === undefined || zone.loads.size === 0);
		if (wasIdle && this.#isIdle) {
			return;
		}

		const report = {...this.#createHeartbeat(), sentRequests: this.#sentRequests, zone};
		this.#sentRequests = [];
		this.#zoneSummaries.clear();
		this.#sendAll(recipients.members.filter(member => members.isAlive(member, nowMs)), report);
	}

	/** Sends a heartbeat immediately; used for the regular ones and between them. */
	send(): void {
		const {members, clock} = this.deps;
		const nowMs = clock.monotonic();
		const probeRound = this.#heartbeatCount % PROBE_PERIOD_HEARTBEATS === 0 ? this.#heartbeatCount / PROBE_PERIOD_HEARTBEATS : undefined;
		const recipients = this.#relaySelector.selectRecipients(nowMs, probeRound);
		const heartbeat: Heartbeat = {
			...this.#createHeartbeat(), sentRequests: this.#sentRequests, hostEntries: this.#hostEntries.take(this.#heartbeatCount), zone: recipients.isRelay ? this.#zoneSummaries.create(nowMs) : undefined,
		};
		this.#sentRequests = [];
		this.#zoneSummaries.clear();
		const isAlive = (member: Member) => members.isAlive(member, nowMs);
		const alive = recipients.members.filter(member => isAlive(member));
		this.#sendAll(alive, heartbeat);
		this.#sendReportsTo(alive, nowMs);
		this.#sendAll(recipients.members.filter(member => !isAlive(member)), {...heartbeat, hostEntries: [...heartbeat.hostEntries.filter(({id}) => id !== members.self.id), members.self]});
		this.#heartbeatCount++;
	}

	/** Sends what there is to report without waiting for the next heartbeat. */
	sendReports(): void {
		const {members, clock} = this.deps;
		const nowMs = clock.monotonic();
		const recipients = this.#relaySelector.selectRecipients(nowMs, undefined);
		this.#sendReportsTo(recipients.members.filter(member => members.isAlive(member, nowMs)), nowMs);
	}

	#sendReportsTo(members: readonly Member[], nowMs: number): void {
		for (const message of this.deps.reports.create(nowMs)) {
			this.#sendBytes(members, message);
		}
	}

	/** Sends a heartbeat with this host's entry to an address whose host may not know this one. */
	announceTo(ip: string, port: number): void {
		this.deps.channel.send(encodeHeartbeat({...this.#createHeartbeat(), hostEntries: [this.deps.members.self]}), {ip, port});
	}

	#sendAll(members: readonly Member[], heartbeat: Heartbeat): void {
		if (members.length === 0) {
			return;
		}

		this.#sendBytes(members, encodeHeartbeat(heartbeat));
	}

	#sendBytes(members: readonly Member[], bytes: Buffer): void {
		for (const member of members) {
			this.#sendTo(member, bytes);
		}
	}

	#sendTo({entry: {ip, peerPort}}: Member, bytes: Buffer): void {
		this.deps.channel.send(bytes, {ip, port: peerPort});
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

	#receive(bytes: Buffer, from: Address): void {
		if (isReport(bytes)) {
			this.deps.reports.receive(bytes);
			return;
		}

		const heartbeat = decodeHeartbeat(bytes);
		const {members, metrics} = this.deps;
		if (!heartbeat) {
			metrics.count('beats.unreadable');
			return;
		}

		for (const entry of heartbeat.hostEntries) {
			this.#handleHostEntry(entry, from);
		}

		const member = members.find(heartbeat.senderHash);
		if (!member) {
			return;
		}

		const isDirect = member.entry.ip === from.ip && member.entry.peerPort === from.port;
		this.#handleHeartbeat(member, heartbeat, isDirect);
		if (isDirect && member.entry.zone !== members.self.zone) {
			for (const target of this.#relaySelector.getForwardTargets(member, this.deps.clock.monotonic())) {
				this.#sendTo(target, bytes);
			}
		}
	}

	#handleHostEntry(entry: HostEntry, from: Address): void {
		const {members, log, clock} = this.deps;
		if (!members.put(entry)) {
			return;
		}

		log.info({event: 'host', host: entry.id, zone: entry.zone, startedMs: entry.startedMs});
		if (entry.ip === from.ip && entry.peerPort === from.port) {
			this.announceTo(entry.ip, entry.peerPort);
		}

		if (this.#relaySelector.isRelay(clock.monotonic())) {
			this.#hostEntries.add(entry);
		}
	}

	#handleHeartbeat(member: Member, heartbeat: Heartbeat, isDirect: boolean): void {
		const {clock, load} = this.deps;
		const nowMs = clock.monotonic();
		this.#recordHostStatus(member, heartbeat, nowMs);
		if (isDirect) {
			member.lastDirectAtMs = nowMs;
		}

		load.recordPeer(member.entry.id, heartbeat.loads, nowMs);
		this.deps.objectCaches.recordAll(heartbeat.sentRequests);
		if (isDirect && member.entry.zone === this.deps.members.self.zone) {
			this.#zoneSummaries.recordSentRequests(heartbeat.sentRequests);
		}

		if (heartbeat.zone) {
			this.#handleZoneSummary(member.entry.zone, heartbeat.zone, nowMs);
		}

		if (isDirect) {
			this.#compareState(member, heartbeat);
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
		const {members} = this.deps;
		for (const host of summary.observedHosts) {
			const member = members.find(host.hash);
			if (member) {
				this.#recordHostStatus(member, host, nowMs - host.ageMs);
			}
		}

		this.#zoneSummaries.apply(zone, summary, this.#lastSentLoads, nowMs);
	}

	/** Compares the state with the peer's: takes over its freshness, or requests missing changes from it. */
	#compareState(member: Member, {operations, workers}: Heartbeat): void {
		const {state} = this.deps;
		const previousAgeMs = state.ageMs();
		const request = state.compareWithPeer(operations, workers);
		if (request && !this.#isCatchingUp) {
			void this.#requestCatchUp(member, request);
		} else if (previousAgeMs - state.ageMs() > MIN_FRESHNESS_GAIN_MS) {
			this.#notifyNonRelays();
		}
	}

	/** Sends a heartbeat to the zone's non-relay hosts, which depend on relays for the freshness of the state. */
	#notifyNonRelays(): void {
		const nonRelays = this.#relaySelector.getNonRelays(this.deps.clock.monotonic());
		if (nonRelays.length > 0) {
			this.#sendAll(nonRelays, this.#createHeartbeat());
		}
	}

	async #requestCatchUp(member: Member, request: CatchUpRequest): Promise<void> {
		const {state, catchUp, log, clock} = this.deps;
		this.#isCatchingUp = true;
		const startAtMs = clock.monotonic();
		try {
			state.applyCatchUp(await catchUp.since(member.entry, request), startAtMs);
			if (this.#relaySelector.isRelay(clock.monotonic())) {
				this.send();
			}
		} catch (error) {
			log.warn({event: 'catch-up-failed', host: member.entry.id, message: (error as Error).message});
		} finally {
			this.#isCatchingUp = false;
		}
	}
}
