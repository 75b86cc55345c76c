import {type AgreementState, type Shift} from '@apricotwood/agreement';
import {mixHashes} from '@apricotwood/blocks';
import {toUnit} from './hash.js';
import {rampPart} from './ramp.js';

/** An entry host that a look-up may name. */
export type EntryHost = {
	readonly id: string;
	readonly address: string;
	readonly port: number;
	readonly zone: string;
	readonly region: string;
	/** Hash of the id, for rendezvous hashing. */
	readonly hash: number;
	/** 0 to 1: room for the service, moved in bounded steps. */
	readonly weight: number;
};

/** Why a region was chosen. */
export enum SteerReason {
	Home = 'home',
	Shift = 'shift',
	HomeUnavailable = 'home-unavailable',
	NoBlock = 'no-block',
}

export type RegionChoice = {
	readonly region: string;
	readonly reason: SteerReason;
	readonly shift: Shift | undefined;
};

/** Which regions can take new work of a service now. */
export type RegionView = (region: string, service: string) => boolean;

/**
 * Chooses the region that serves a caller: its home, unless a shift moves the
 * caller's part of the hash range or the home can take no new work.
 * @param callerHash equal for equal callers, so that they stay together.
 */
export function chooseRegion(
	state: AgreementState,
	service: string,
	home: string | undefined,
	callerHash: number,
	nowMs: number,
	isUsable: RegionView,
): RegionChoice | undefined {
	const start = home ?? pickAnyRegion(state, service, callerHash, isUsable);
	if (start === undefined) {
		return undefined;
	}

	const shifts = state.shiftsFrom(start, service).filter(shift => isUsable(shift.to, service));
	const moved = pickShift(shifts, callerHash, nowMs);
	if (moved) {
		return {region: moved.to, reason: SteerReason.Shift, shift: moved};
	}

	if (isUsable(start, service)) {
		return {region: start, reason: home === undefined ? SteerReason.NoBlock : SteerReason.Home, shift: undefined};
	}

	const [fallback] = shifts;
	return fallback && {region: fallback.to, reason: SteerReason.HomeUnavailable, shift: fallback};
}

/** A caller without a block is spread over the regions that can serve it. */
function pickAnyRegion(state: AgreementState, service: string, callerHash: number, isUsable: RegionView): string | undefined {
	const usable = state.agreement.regions.filter(region => isUsable(region.name, service));
	return usable[callerHash % Math.max(1, usable.length)]?.name;
}

/** Each shift moves its own part of the hash range; together they move at most all of it. */
function pickShift(shifts: readonly Shift[], callerHash: number, nowMs: number): Shift | undefined {
	const point = toUnit(callerHash) * 100;
	let upper = 0;
	for (const shift of shifts) {
		upper += shift.percent * rampPart(shift.startMs, shift.rampMs, nowMs);
		if (point < upper) {
			return shift;
		}
	}

	return undefined;
}

/** Weight given to hosts outside the caller's availability zone, where latency counts most. */
const FAR_ZONE_WEIGHT = 0.25;
/** A host without known room keeps this weight, so that a lagging figure starves none. */
const MIN_WEIGHT = 0.02;

/** A host of the answer and its weight in it. */
export type RankedHost = {
	readonly host: EntryHost;
	readonly weight: number;
};

/**
 * Orders entry hosts for one caller by weighted rendezvous hashing (Schindelhauer
 * and Schomaker 2005): over many callers each host comes first as often as its
 * weight says, and one caller's order is stable while weights are.
 * @param nearZone zone whose hosts are preferred; undefined for no preference.
 */
export function rankHosts(hosts: readonly EntryHost[], callerHash: number, nearZone: string | undefined, most: number): RankedHost[] {
	const scored: Array<RankedHost & {score: number}> = [];
	for (const host of hosts) {
		const near = nearZone === undefined || host.zone === nearZone ? 1 : FAR_ZONE_WEIGHT;
		const weight = Math.max(MIN_WEIGHT, host.weight) * near;
		const score = -weight / Math.log(toUnit(mixHashes(callerHash, host.hash)));
		scored.push({host, weight, score});
	}

	scored.sort((a, b) => b.score - a.score);
	return scored.slice(0, most);
}
