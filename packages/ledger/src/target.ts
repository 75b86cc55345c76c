import {hashText} from '@apricotwood/routing';

/** A host that may hold units of a resource. */
export type Candidate = {
	readonly id: string;
	/** Units that the host wants; 0 or more. */
	readonly demand: number;
};

/** Part of a resource that is split evenly whatever the demand, so that every host can start work at once. */
const EVEN_PART = 0.25;

/**
 * Divides `limit` units over hosts by demand; every host that sees the same
 * input computes the same shares. Fractions go by largest remainder
 * (Hamilton's method), ties by rendezvous hashing (Thaler and Ravishankar 1998),
 * so a limit below the number of hosts is held by few hosts.
 * @returns units by host id; they sum up to `limit` unless there is no host.
 */
export function divideUnits(key: string, limit: number, hosts: readonly Candidate[]): Map<string, number> {
	const shares = new Map<string, number>();
	let total = 0;
	for (const host of hosts) {
		total += host.demand;
	}

	const parts: Array<{id: string; rest: number; rank: number}> = [];
	let left = limit;
	for (const host of hosts) {
		const even = 1 / hosts.length;
		const weight = total > 0 ? (EVEN_PART * even) + ((1 - EVEN_PART) * host.demand / total) : even;
		const exact = limit * weight;
		const whole = Math.floor(exact);
		left -= whole;
		shares.set(host.id, whole);
		parts.push({id: host.id, rest: quantise(exact - whole), rank: hashText(`${key}|${host.id}`)});
	}

	parts.sort((a, b) => b.rest - a.rest || b.rank - a.rank || (a.id < b.id ? -1 : 1));
	for (const part of parts.slice(0, Math.max(0, left))) {
		shares.set(part.id, (shares.get(part.id) ?? 0) + 1);
	}

	return shares;
}

/** Rounds a remainder so that a small change of demand moves no unit. */
function quantise(rest: number): number {
	return Math.round(rest * 8);
}
