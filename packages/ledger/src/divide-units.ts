import {hashText} from '@apricotwood/routing';

/** A candidate host of a resource and its demand. */
export type HostDemand = {
	readonly id: string;
	/** Demand in units; 0 or more. */
	readonly demand: number;
};

/** Fraction of a resource's limit that is split evenly regardless of demand, so that every host can start requests immediately. */
const EVEN_FRACTION = 0.25;

/**
 * Divides `limit` units among hosts by demand; hosts with the same input compute
 * the same shares. Fractional units go to the largest remainders (Hamilton's
 * method), ties are broken by rendezvous hashing (Thaler and Ravishankar 1998),
 * so that a limit below the number of hosts is held by only a few hosts.
 * @returns units by host id; their sum is `limit` unless `hosts` is empty.
 */
export function divideUnits(key: string, limit: number, hosts: readonly HostDemand[]): Map<string, number> {
	const shares = new Map<string, number>();
	let totalDemand = 0;
	for (const host of hosts) {
		totalDemand += host.demand;
	}

	const remainders: Array<{id: string; remainder: number; hash: number}> = [];
	let unassigned = limit;
	for (const host of hosts) {
		const evenWeight = 1 / hosts.length;
		const weight = totalDemand > 0 ? (EVEN_FRACTION * evenWeight) + ((1 - EVEN_FRACTION) * host.demand / totalDemand) : evenWeight;
		const exact = limit * weight;
		const whole = Math.floor(exact);
		unassigned -= whole;
		shares.set(host.id, whole);
		remainders.push({id: host.id, remainder: quantizeRemainder(exact - whole), hash: hashText(`${key}|${host.id}`)});
	}

	remainders.sort((a, b) => b.remainder - a.remainder || b.hash - a.hash || (a.id < b.id ? -1 : 1));
	for (const candidate of remainders.slice(0, Math.max(0, unassigned))) {
		shares.set(candidate.id, (shares.get(candidate.id) ?? 0) + 1);
	}

	return shares;
}

/** Rounds a remainder to eighths of a unit, so that a small change in demand does not move units. */
function quantizeRemainder(remainder: number): number {
	return Math.round(remainder * 8);
}
