import {type AgreementState, type Shift} from '@apricotwood/agreement';
import {computeRendezvousScore, toUnitInterval} from './hash.js';
import {computeRampFraction} from './ramp.js';

/** An entry host that a lookup may return. */
export type EntryHost = {
	readonly id: string;
	readonly address: string;
	readonly port: number;
	readonly zone: string;
	readonly region: string;
	/** Hash of the id, for rendezvous hashing. */
	readonly hash: number;
	/** Relative capacity for the service, 0 to 1; changes in bounded steps. */
	readonly weight: number;
};

/** Why a region was chosen; the values are logged and sent to callers. */
export enum RegionReason {
	/** The home region of the caller. */
	Home = 'home',
	/** A shift that is in effect applies to the caller. */
	Shift = 'shift',
	/** The home region does not accept new requests; the target of its first usable shift is used. */
	HomeUnavailable = 'home-unavailable',
	/** No address range (client block) of a client account contains the caller's address; the region is chosen by hash. */
	UnknownAddress = 'no-block',
}

/** The chosen region. */
export type RegionChoice = {
	readonly region: string;
	readonly reason: RegionReason;
	/** The shift (redirection of a percentage of a region's callers to another region) that applies to the caller; `undefined` when none does. */
	readonly shift: Shift | undefined;
};

/** Tells whether a region currently accepts new requests for a service. */
export type RegionPredicate = (region: string, service: string) => boolean;

/**
 * Chooses the region that serves a caller: its home region, unless a shift
 * applies to the caller's part of the hash range or the home region does not
 * accept new requests. A caller without a home region is assigned a usable region
 * by hash, to which shifts apply as well.
 * @param callerHash hash of the caller's address, so that a caller is assigned consistently.
 * @returns `undefined` when the home region accepts no requests and has no shift to a usable region, even if other regions are usable, or when a caller without a home region finds no usable region.
 */
export function chooseRegion(
	state: AgreementState,
	service: string,
	homeRegion: string | undefined,
	callerHash: number,
	nowMs: number,
	isUsable: RegionPredicate,
): RegionChoice | undefined {
	const baseRegion = homeRegion ?? pickRegionByHash(state, service, callerHash, isUsable);
	if (baseRegion === undefined) {
		return undefined;
	}

	const usableShifts = state.shiftsFrom(baseRegion, service).filter(shift => isUsable(shift.to, service));
	const activeShift = pickShift(usableShifts, callerHash, nowMs);
	if (activeShift) {
		return {region: activeShift.to, reason: RegionReason.Shift, shift: activeShift};
	}

	if (isUsable(baseRegion, service)) {
		return {region: baseRegion, reason: homeRegion === undefined ? RegionReason.UnknownAddress : RegionReason.Home, shift: undefined};
	}

	const [fallbackShift] = usableShifts;
	return fallbackShift && {region: fallbackShift.to, reason: RegionReason.HomeUnavailable, shift: fallbackShift};
}

/** Distributes callers without a home region over the usable regions. */
function pickRegionByHash(state: AgreementState, service: string, callerHash: number, isUsable: RegionPredicate): string | undefined {
	const usable = state.agreement.regions.filter(region => isUsable(region.name, service));
	return usable[callerHash % Math.max(1, usable.length)]?.name;
}

/** Picks the shift that applies to the caller. Each shift covers its own part of the hash range; together they cover at most all of it. */
function pickShift(shifts: readonly Shift[], callerHash: number, nowMs: number): Shift | undefined {
	const callerPercent = toUnitInterval(callerHash) * 100;
	let upperPercent = 0;
	for (const shift of shifts) {
		upperPercent += shift.percent * computeRampFraction(shift.startMs, shift.rampMs, nowMs);
		if (callerPercent < upperPercent) {
			return shift;
		}
	}

	return undefined;
}

/** Factor on the weight of hosts outside the preferred availability zone. The caller passes a preferred zone only when the priority is latency. */
const REMOTE_ZONE_FACTOR = 0.25;
/** Minimum weight of a host before the zone factor, so that an outdated capacity report does not cut it off from all traffic. */
const MIN_HOST_WEIGHT = 0.02;

/** An entry host in a lookup answer, with its weight. */
export type RankedHost = {
	readonly host: EntryHost;
	readonly weight: number;
};

/**
 * Ranks entry hosts for one caller by weighted rendezvous hashing: a caller's
 * ranking does not change while the weights stay the same.
 * @param preferredZone availability zone whose hosts get their full weight; `undefined` for no preference.
 * @param maxHosts maximum number of hosts returned.
 */
export function rankHosts(hosts: readonly EntryHost[], callerHash: number, preferredZone: string | undefined, maxHosts: number): RankedHost[] {
	const scored: Array<RankedHost & {score: number}> = [];
	for (const host of hosts) {
		const zoneFactor = preferredZone === undefined || host.zone === preferredZone ? 1 : REMOTE_ZONE_FACTOR;
		const weight = Math.max(MIN_HOST_WEIGHT, host.weight) * zoneFactor;
		scored.push({host, weight, score: computeRendezvousScore(callerHash, host.hash, weight)});
	}

	scored.sort((a, b) => b.score - a.score);
	return scored.slice(0, maxHosts);
}
