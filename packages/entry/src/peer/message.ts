import type {Buffer} from 'node:buffer';
import {pack, unpack} from 'msgpackr';
import * as z from 'zod';
import type {HostEntry} from '../source.js';
import type {PeerHorizon} from '../state/shared.js';

/** A host of the sender's zone, as the sender hears it. */
export type HeardHost = {
	readonly hash: number;
	readonly isReady: boolean;
	readonly isSourceFailing: boolean;
	/** Time since its last message, ms. */
	readonly ageMs: number;
};

/** What a relay tells of the other hosts of its zone. */
export type ZonePart = {
	readonly heard: readonly HeardHost[];
	/** Running requests of those that are no relays, by worker hash. */
	readonly loads: ReadonlyMap<number, number>;
	/** Worker and object hashes of requests that they sent since the last beat, in turn. */
	readonly sent: readonly number[];
};

/** What hosts tell each other several times a second, in one datagram. */
export type Beat = {
	/** Hash of the sender's id. A relay passes on beats of others as they are. */
	readonly sender: number;
	readonly isReady: boolean;
	readonly isSourceFailing: boolean;
	readonly operations: PeerHorizon;
	readonly workers: PeerHorizon;
	/** The sender's running requests by worker hash. */
	readonly loads: ReadonlyMap<number, number>;
	/** Worker and object hashes of requests that it sent since the last beat, in turn. */
	readonly sent: readonly number[];
	/** Entries of hosts that the listeners may not know. */
	readonly entries: readonly HostEntry[];
	/** Set by relays. */
	readonly zone: ZonePart | undefined;
};

const numberSchema = z.number();
const listSchema = z.array(numberSchema);
const horizonSchema = z.tuple([numberSchema, numberSchema, numberSchema, numberSchema]);
const hostSchema = z.tuple([z.string(), z.string(), numberSchema, z.string(), z.string(), z.string(), numberSchema]);
const zoneSchema = z.tuple([listSchema, listSchema, listSchema]);
const beatSchema = z.tuple([numberSchema, numberSchema, horizonSchema, horizonSchema, listSchema, listSchema, z.array(hostSchema), zoneSchema.optional()]);

const READY = 1;
const SOURCE_FAILING = 2;
/** Ages above this are told as this, ms. */
const MAX_AGE_MS = 60_000;
/** Numbers that tell of one heard host. */
const HEARD_FIELDS = 3;

export function encodeBeat(beat: Beat): Buffer {
	const fields: unknown[] = [
		beat.sender, packFlags(beat), packHorizon(beat.operations), packHorizon(beat.workers), packLoads(beat.loads), beat.sent, beat.entries.map(entry => packHost(entry)),
	];
	if (beat.zone) {
		const {heard, loads, sent} = beat.zone;
		fields.push([heard.flatMap(host => [host.hash, packFlags(host), Math.round(host.ageMs)]), packLoads(loads), sent]);
	}

	return pack(fields);
}

/** @returns `undefined` for bytes that are no beat. */
export function decodeBeat(bytes: Buffer): Beat | undefined {
	let fields: unknown;
	try {
		fields = unpack(bytes);
	} catch {
		return undefined;
	}

	const parsed = beatSchema.safeParse(fields);
	if (!parsed.success) {
		return undefined;
	}

	const [sender, flags, operations, workers, loads, sent, entries, zone] = parsed.data;
	return {
		sender,
		...unpackFlags(flags),
		operations: unpackHorizon(operations),
		workers: unpackHorizon(workers),
		loads: unpackLoads(loads),
		sent,
		entries: entries.map(entry => unpackHost(entry)),
		zone: zone && {heard: unpackHeard(zone[0]), loads: unpackLoads(zone[1]), sent: zone[2]},
	};
}

type Flags = Pick<HeardHost, 'isReady' | 'isSourceFailing'>;

function packFlags({isReady, isSourceFailing}: Flags): number {
	return (isReady ? READY : 0) + (isSourceFailing ? SOURCE_FAILING : 0);
}

function unpackFlags(flags: number): Flags {
	return {isReady: flags % 2 === READY, isSourceFailing: flags >= SOURCE_FAILING};
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

function unpackHeard(list: readonly number[]): HeardHost[] {
	const heard: HeardHost[] = [];
	for (let index = 0; index + HEARD_FIELDS <= list.length; index += HEARD_FIELDS) {
		heard.push({hash: list[index]!, ...unpackFlags(list[index + 1]!), ageMs: list[index + 2]!});
	}

	return heard;
}

function packHorizon({changed, cursor, ageMs, fingerprint}: PeerHorizon): number[] {
	return [changed, cursor, Math.min(MAX_AGE_MS, Math.round(ageMs)), fingerprint];
}

function unpackHorizon([changed, cursor, ageMs, fingerprint]: [number, number, number, number]): PeerHorizon {
	return {
		changed, cursor, ageMs, fingerprint,
	};
}

function packHost({id, ip, peerPort, callerAddress, zone, region, startedMs}: HostEntry): unknown[] {
	return [id, ip, peerPort, callerAddress, zone, region, startedMs];
}

function unpackHost([id, ip, peerPort, callerAddress, zone, region, startedMs]: z.output<typeof hostSchema>): HostEntry {
	return {
		id, ip, peerPort, callerAddress, zone, region, startedMs,
	};
}
