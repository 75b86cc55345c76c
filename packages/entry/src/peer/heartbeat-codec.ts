import type {Buffer} from 'node:buffer';
import {pack, unpack} from 'msgpackr';
import * as z from 'zod';
import {hostEntrySchema} from '../entry-schemas.js';
import type {HostEntry} from '../source.js';
import type {PeerSyncStatus} from '../state/sync-status.js';

/** Status of a host of the sender's zone, as observed by the sender. */
export type ObservedHost = {
	/** Hash of the host id. */
	readonly hash: number;
	readonly isReady: boolean;
	readonly isSourceFailing: boolean;
	/** Time since the sender received the host's last heartbeat, ms. */
	readonly ageMs: number;
};

/** A relay's summary of the other hosts of its zone. */
export type ZoneSummary = {
	readonly observedHosts: readonly ObservedHost[];
	/** Number of running requests of the non-relay hosts, by worker hash. */
	readonly loads: ReadonlyMap<number, number>;
	/** Requests that the zone's hosts sent since the last summary, as a flat list of worker hash and object hash pairs. */
	readonly sentRequests: readonly number[];
};

/** Message that hosts send each other several times a second, in one datagram. */
export type Heartbeat = {
	/** Hash of the original sender's id; relays forward heartbeats of other hosts unchanged. */
	readonly senderHash: number;
	readonly isReady: boolean;
	readonly isSourceFailing: boolean;
	readonly operations: PeerSyncStatus;
	readonly workers: PeerSyncStatus;
	/** Number of the sender's running requests, by worker hash. */
	readonly loads: ReadonlyMap<number, number>;
	/** Requests that the sender sent since its last heartbeat, as a flat list of worker hash and object hash pairs. */
	readonly sentRequests: readonly number[];
	/** Entries of hosts that the recipients may not know. */
	readonly hostEntries: readonly HostEntry[];
	/** Summary of the sender's zone; set only by relays. */
	readonly zone: ZoneSummary | undefined;
};

const numberSchema = z.number();
const numbersSchema = z.array(numberSchema);
const syncStatusSchema = z.tuple([numberSchema, numberSchema, numberSchema, numberSchema]);
const hostSchema = z.tuple([z.unknown(), z.unknown(), z.unknown(), z.unknown(), z.unknown(), z.unknown(), z.unknown()]);
const zoneSchema = z.tuple([numbersSchema, numbersSchema, numbersSchema]);
const heartbeatSchema = z.tuple([numberSchema, numberSchema, syncStatusSchema, syncStatusSchema, numbersSchema, numbersSchema, z.array(hostSchema), zoneSchema.optional()]);

const READY_FLAG = 1;
const SOURCE_FAILING_FLAG = 2;
/** Upper bound of the encoded age of a data set, ms; also encodes an unknown (infinite) age. */
const MAX_SENT_AGE_MS = 60_000;
/** Number of list elements that encode one observed host. */
const OBSERVED_HOST_FIELDS = 3;

/** Encodes a heartbeat as a MessagePack array; the order of the elements is the wire format. */
export function encodeHeartbeat(heartbeat: Heartbeat): Buffer {
	const fields: unknown[] = [
		heartbeat.senderHash,
		packFlags(heartbeat),
		packSyncStatus(heartbeat.operations),
		packSyncStatus(heartbeat.workers),
		packLoads(heartbeat.loads),
		heartbeat.sentRequests,
		heartbeat.hostEntries.map(entry => packHost(entry)),
	];
	if (heartbeat.zone) {
		const {observedHosts, loads, sentRequests} = heartbeat.zone;
		fields.push([observedHosts.flatMap(host => [host.hash, packFlags(host), Math.round(host.ageMs)]), packLoads(loads), sentRequests]);
	}

	return pack(fields);
}

/** Decodes and validates a heartbeat. @returns `undefined` if the bytes are not a valid heartbeat. */
export function decodeHeartbeat(bytes: Buffer): Heartbeat | undefined {
	let fields: unknown;
	try {
		fields = unpack(bytes);
	} catch {
		return undefined;
	}

	const parsed = heartbeatSchema.safeParse(fields);
	if (!parsed.success) {
		return undefined;
	}

	const [senderHash, flags, operations, workers, loads, sentRequests, entries, zone] = parsed.data;
	return {
		senderHash,
		...unpackFlags(flags),
		operations: unpackSyncStatus(operations),
		workers: unpackSyncStatus(workers),
		loads: unpackLoads(loads),
		sentRequests,
		hostEntries: entries.map(entry => unpackHost(entry)).filter(entry => entry !== undefined),
		zone: zone && {observedHosts: unpackObservedHosts(zone[0]), loads: unpackLoads(zone[1]), sentRequests: zone[2]},
	};
}

type Flags = Pick<ObservedHost, 'isReady' | 'isSourceFailing'>;

function packFlags({isReady, isSourceFailing}: Flags): number {
	return (isReady ? READY_FLAG : 0) + (isSourceFailing ? SOURCE_FAILING_FLAG : 0);
}

function unpackFlags(flags: number): Flags {
	return {isReady: flags % 2 === READY_FLAG, isSourceFailing: flags >= SOURCE_FAILING_FLAG};
}

function packLoads(loads: ReadonlyMap<number, number>): number[] {
	return [...loads].flat();
}

function unpackLoads(list: readonly number[]): Map<number, number> {
	const loads = new Map<number, number>();
	for (let index = 0; index + 1 < list.length; index += 2) {
		loads.set(list[index]!, list[index + 1]!);
	}

	return loads;
}

function unpackObservedHosts(list: readonly number[]): ObservedHost[] {
	const hosts: ObservedHost[] = [];
	for (let index = 0; index + OBSERVED_HOST_FIELDS <= list.length; index += OBSERVED_HOST_FIELDS) {
		hosts.push({hash: list[index]!, ...unpackFlags(list[index + 1]!), ageMs: list[index + 2]!});
	}

	return hosts;
}

function packSyncStatus({changedRevision, cursor, ageMs, fingerprint}: PeerSyncStatus): number[] {
	return [changedRevision, cursor, Math.min(MAX_SENT_AGE_MS, Math.round(ageMs)), fingerprint];
}

function unpackSyncStatus([changedRevision, cursor, ageMs, fingerprint]: [number, number, number, number]): PeerSyncStatus {
	return {
		changedRevision, cursor, ageMs, fingerprint,
	};
}

function packHost({id, ip, peerPort, callerAddress, zone, region, startedMs}: HostEntry): unknown[] {
	return [id, ip, peerPort, callerAddress, zone, region, startedMs];
}

/** @returns `undefined` for an entry that cannot be used, which another host may have read from the store. */
function unpackHost([id, ip, peerPort, callerAddress, zone, region, startedMs]: z.output<typeof hostSchema>): HostEntry | undefined {
	return hostEntrySchema.safeParse({
		id, ip, peerPort, callerAddress, zone, region, startedMs,
	}).data;
}
