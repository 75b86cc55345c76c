import {mixHashes} from '@apricotwood/blocks';
import type {Resource} from '@apricotwood/agreement';
import {hashText} from '@apricotwood/routing';

/** A resource is held by this many hosts at least, where there are as many. */
const MIN_CANDIDATES = 8;
/** A resource is held by this many hosts at most. */
const MAX_CANDIDATES = 64;

/** A host that may hold units. */
export type CandidateHost = {
	readonly id: string;
	readonly region: string;
};

type RankedHost = {
	readonly id: string;
	readonly score: number;
};

type ResourceEntry = {
	readonly resource: Resource;
	readonly hash: number;
	readonly maxCandidates: number;
	/** The hosts of highest rank, best first. */
	ranked: RankedHost[];
};

/**
 * The few hosts that may hold each resource, by rendezvous hashing (Thaler and
 * Ravishankar 1998). A host that comes or goes changes only the resources that
 * it ranks high for, so the cost of a round does not follow the number of hosts.
 */
export class CandidateIndex {
	readonly #hosts = new Map<string, CandidateHost & {readonly hash: number}>();
	readonly #entries = new Map<string, ResourceEntry>();

	/** Takes the resources of a new version; those that stay keep their candidates. */
	setResources(resources: readonly Resource[]): void {
		const keys = new Set(resources.map(resource => resource.key));
		for (const key of this.#entries.keys()) {
			if (!keys.has(key)) {
				this.#entries.delete(key);
			}
		}

		for (const resource of resources) {
			const existing = this.#entries.get(resource.key);
			const isUnchanged = existing !== undefined && existing.resource.region === resource.region && existing.maxCandidates === computeMaxCandidates(resource.limit);
			if (!isUnchanged) {
				const entry: ResourceEntry = {
					resource, hash: hashText(resource.key), maxCandidates: computeMaxCandidates(resource.limit), ranked: [],
				};
				this.#entries.set(resource.key, entry);
				this.#rankAll(entry);
			}
		}
	}

	/** Brings the hosts in line with those given. */
	setHosts(hosts: readonly CandidateHost[]): void {
		const ids = new Set(hosts.map(host => host.id));
		for (const id of this.#hosts.keys()) {
			if (!ids.has(id)) {
				this.#remove(id);
			}
		}

		for (const host of hosts) {
			if (this.#hosts.get(host.id)?.region !== host.region) {
				this.#remove(host.id);
				this.#add(host);
			}
		}
	}

	/** Ids of the hosts that may hold a resource, best first. */
	candidatesOf(key: string): string[] {
		return this.#entries.get(key)?.ranked.map(({id}) => id) ?? [];
	}

	/** Whether a host may hold a resource. */
	isCandidate(key: string, id: string): boolean {
		return this.#entries.get(key)?.ranked.some(host => host.id === id) ?? false;
	}

	#add(host: CandidateHost): void {
		const hashed = {...host, hash: hashText(host.id)};
		this.#hosts.set(host.id, hashed);
		for (const entry of this.#entries.values()) {
			if (isEligible(entry, host)) {
				insertRanked(entry, {id: host.id, score: mixHashes(entry.hash, hashed.hash)});
			}
		}
	}

	#remove(id: string): void {
		if (!this.#hosts.delete(id)) {
			return;
		}

		for (const entry of this.#entries.values()) {
			if (entry.ranked.some(host => host.id === id)) {
				this.#rankAll(entry);
			}
		}
	}

	#rankAll(entry: ResourceEntry): void {
		entry.ranked = [];
		for (const host of this.#hosts.values()) {
			if (isEligible(entry, host)) {
				insertRanked(entry, {id: host.id, score: mixHashes(entry.hash, host.hash)});
			}
		}
	}
}

function computeMaxCandidates(limit: number): number {
	return Math.max(MIN_CANDIDATES, Math.min(MAX_CANDIDATES, limit));
}

function isEligible({resource}: ResourceEntry, host: CandidateHost): boolean {
	return resource.region === undefined || resource.region === host.region;
}

/** Keeps the list sorted and no longer than the resource's holders. */
function insertRanked({ranked, maxCandidates: maxCandidates}: ResourceEntry, host: RankedHost): void {
	const last = ranked.at(-1);
	if (ranked.length === maxCandidates && last !== undefined && !ranksHigher(host, last)) {
		return;
	}

	const index = ranked.findIndex(other => ranksHigher(host, other));
	ranked.splice(index === -1 ? ranked.length : index, 0, host);
	ranked.length = Math.min(ranked.length, maxCandidates);
}

function ranksHigher(a: RankedHost, b: RankedHost): boolean {
	return a.score === b.score ? a.id < b.id : a.score > b.score;
}
