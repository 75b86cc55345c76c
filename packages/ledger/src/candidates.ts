import {mixHashes} from '@apricotwood/blocks';
import type {Resource} from '@apricotwood/agreement';
import {hashText} from '@apricotwood/routing';

/** A resource is held by this many hosts at least, where there are as many. */
const MIN_HOLDERS = 8;
/** A resource is held by this many hosts at most. */
const MAX_HOLDERS = 64;

/** A host that may hold units. */
export type HolderHost = {
	readonly id: string;
	readonly region: string;
};

type Ranked = {
	readonly id: string;
	readonly rank: number;
};

type Entry = {
	readonly resource: Resource;
	readonly hash: number;
	readonly most: number;
	/** The hosts of highest rank, best first. */
	ranked: Ranked[];
};

/**
 * The few hosts that may hold each resource, by rendezvous hashing (Thaler and
 * Ravishankar 1998). A host that comes or goes changes only the resources that
 * it ranks high for, so the cost of a round does not follow the number of hosts.
 */
export class CandidateIndex {
	readonly #hosts = new Map<string, HolderHost & {readonly hash: number}>();
	readonly #entries = new Map<string, Entry>();

	/** Takes the resources of a new version; those that stay keep their candidates. */
	setResources(resources: readonly Resource[]): void {
		const keys = new Set(resources.map(resource => resource.key));
		for (const key of this.#entries.keys()) {
			if (!keys.has(key)) {
				this.#entries.delete(key);
			}
		}

		for (const resource of resources) {
			const known = this.#entries.get(resource.key);
			const isSame = known !== undefined && known.resource.region === resource.region && known.most === mostHolders(resource.limit);
			if (!isSame) {
				const entry: Entry = {
					resource, hash: hashText(resource.key), most: mostHolders(resource.limit), ranked: [],
				};
				this.#entries.set(resource.key, entry);
				this.#rankAll(entry);
			}
		}
	}

	/** Brings the hosts in line with those given. */
	setHosts(hosts: readonly HolderHost[]): void {
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
	of(key: string): string[] {
		return this.#entries.get(key)?.ranked.map(({id}) => id) ?? [];
	}

	/** Whether a host may hold a resource. */
	includes(key: string, id: string): boolean {
		return this.#entries.get(key)?.ranked.some(one => one.id === id) ?? false;
	}

	#add(host: HolderHost): void {
		const hashed = {...host, hash: hashText(host.id)};
		this.#hosts.set(host.id, hashed);
		for (const entry of this.#entries.values()) {
			if (isEligible(entry, host)) {
				insert(entry, {id: host.id, rank: mixHashes(entry.hash, hashed.hash)});
			}
		}
	}

	#remove(id: string): void {
		if (!this.#hosts.delete(id)) {
			return;
		}

		for (const entry of this.#entries.values()) {
			if (entry.ranked.some(one => one.id === id)) {
				this.#rankAll(entry);
			}
		}
	}

	#rankAll(entry: Entry): void {
		entry.ranked = [];
		for (const host of this.#hosts.values()) {
			if (isEligible(entry, host)) {
				insert(entry, {id: host.id, rank: mixHashes(entry.hash, host.hash)});
			}
		}
	}
}

function mostHolders(limit: number): number {
	return Math.max(MIN_HOLDERS, Math.min(MAX_HOLDERS, limit));
}

function isEligible({resource}: Entry, host: HolderHost): boolean {
	return resource.region === undefined || resource.region === host.region;
}

/** Keeps the list sorted and no longer than the resource's holders. */
function insert({ranked, most}: Entry, one: Ranked): void {
	const last = ranked.at(-1);
	if (ranked.length === most && last !== undefined && !isBetter(one, last)) {
		return;
	}

	const index = ranked.findIndex(other => isBetter(one, other));
	ranked.splice(index === -1 ? ranked.length : index, 0, one);
	ranked.length = Math.min(ranked.length, most);
}

function isBetter(a: Ranked, b: Ranked): boolean {
	return a.rank === b.rank ? a.id < b.id : a.rank > b.rank;
}
