import type {Buffer} from 'node:buffer';
import {pack, unpack} from 'msgpackr';
import * as z from 'zod';
import type {HostEntry} from '../source.js';
import type {PeerHorizon} from '../state/shared.js';

/** What hosts tell each other several times a second, in one datagram. */
export type Beat = {
	readonly isReady: boolean;
	readonly isSourceFailing: boolean;
	readonly operations: PeerHorizon;
	readonly workers: PeerHorizon;
	/** Running requests by worker hash. */
	readonly loads: ReadonlyMap<number, number>;
	/** Worker and object hashes of requests sent since the last beat, in turn. */
	readonly sent: readonly number[];
	/** The sender's own entry; left out of most beats. */
	readonly host: HostEntry | undefined;
};

const numberSchema = z.number();
const horizonSchema = z.tuple([numberSchema, numberSchema, numberSchema, numberSchema]);
const hostSchema = z.tuple([z.string(), z.string(), numberSchema, z.string(), z.string(), z.string(), numberSchema]);
const beatSchema = z.tuple([numberSchema, horizonSchema, horizonSchema, z.array(numberSchema), z.array(numberSchema), hostSchema.optional()]);

const READY = 1;
const SOURCE_FAILING = 2;
/** Ages above this are told as this, ms. */
const MAX_AGE_MS = 60_000;

export function encodeBeat(beat: Beat): Buffer {
	const flags = (beat.isReady ? READY : 0) + (beat.isSourceFailing ? SOURCE_FAILING : 0);
	const loads: number[] = [];
	for (const [worker, count] of beat.loads) {
		loads.push(worker, count);
	}

	const fields: unknown[] = [flags, packHorizon(beat.operations), packHorizon(beat.workers), loads, beat.sent];
	if (beat.host) {
		const {id, ip, peerPort, callerAddress, zone, region, startedMs} = beat.host;
		fields.push([id, ip, peerPort, callerAddress, zone, region, startedMs]);
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

	const [flags, operations, workers, loadList, sent, host] = parsed.data;
	const loads = new Map<number, number>();
	for (let index = 0; index + 1 < loadList.length; index += 2) {
		loads.set(loadList[index]!, loadList[index + 1]!);
	}

	return {
		isReady: flags % 2 === READY,
		isSourceFailing: flags >= SOURCE_FAILING,
		operations: unpackHorizon(operations),
		workers: unpackHorizon(workers),
		loads,
		sent,
		host: host && unpackHost(host),
	};
}

function packHorizon({changed, cursor, ageMs, fingerprint}: PeerHorizon): number[] {
	return [changed, cursor, Math.min(MAX_AGE_MS, Math.round(ageMs)), fingerprint];
}

function unpackHorizon([changed, cursor, ageMs, fingerprint]: [number, number, number, number]): PeerHorizon {
	return {
		changed, cursor, ageMs, fingerprint,
	};
}

function unpackHost([id, ip, peerPort, callerAddress, zone, region, startedMs]: z.output<typeof hostSchema>): HostEntry {
	return {
		id, ip, peerPort, callerAddress, zone, region, startedMs,
	};
}
