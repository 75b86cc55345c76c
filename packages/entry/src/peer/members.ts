import {hashText} from '@apricotwood/routing';
import type {HostEntry} from '../source.js';
import type {ReaderRank} from '../state/read-schedule.js';

/** Record of another host (peer): its entry and last known status. */
export type Member = {
	readonly entry: HostEntry;
	/** Hash of the host id. */
	readonly hash: number;
	/** Latest monotonic time at which it was known to be alive, from itself or through a relay, ms; `-Infinity` if never heard from. */
	lastSeenAtMs: number;
	/** Monotonic time of the last heartbeat received directly from it, ms; `-Infinity` if there was none. */
	lastDirectAtMs: number;
	/** Whether it reports that it serves callers. */
	isReady: boolean;
	/** Whether it reports that it cannot read the source, or only slowly. */
	isSourceFailing: boolean;
};

/** Time since a host was last seen alive after which it is neither offered to callers nor counted as a reader of the source, ms. */
const MEMBER_TIMEOUT_MS = 1200;

/** Time since a host was last seen alive after which it no longer counts as silent for a short time, ms. */
const SILENT_MEMBER_TIMEOUT_MS = 60_000;

/** List of all other hosts that this host knows of. `nowMs` is monotonic time. */
export class MemberList {
	/** Hash of this host's id. */
	readonly hash: number;
	readonly #members = new Map<number, Member>();
	readonly #byZone = new Map<string, Member[]>();

	constructor(readonly self: HostEntry) {
		this.hash = hashText(self.id);
	}

	/** Number of all known hosts, from the source or from heartbeats, including this one and hosts that no longer run. */
	get count(): number {
		return this.#members.size + 1;
	}

	all(): Iterable<Member> {
		return this.#members.values();
	}

	/** Availability zones of the other hosts. */
	zones(): Iterable<string> {
		return this.#byZone.keys();
	}

	/** Returns the other hosts of an availability zone, ordered by hash. */
	inZone(zone: string): readonly Member[] {
		return this.#byZone.get(zone) ?? [];
	}

	find(hash: number): Member | undefined {
		return this.#members.get(hash);
	}

	/** Adds or replaces the entry of a host. @returns `false` if the entry is not newer than the known one, or is for this host. */
	put(entry: HostEntry): boolean {
		const hash = hashText(entry.id);
		const previous = this.#members.get(hash);
		if (hash === this.hash || (previous && previous.entry.startedMs >= entry.startedMs)) {
			return false;
		}

		this.#members.set(hash, {
			entry, hash, lastSeenAtMs: Number.NEGATIVE_INFINITY, lastDirectAtMs: Number.NEGATIVE_INFINITY, isReady: false, isSourceFailing: false,
		});
		this.#reindex();
		return true;
	}

	/** Whether the host was seen alive within the member timeout. */
	isAlive({lastSeenAtMs}: Member, nowMs: number): boolean {
		return nowMs - lastSeenAtMs < MEMBER_TIMEOUT_MS;
	}

	/** Returns the live hosts that serve callers. */
	ready(nowMs: number): Member[] {
		return [...this.#members.values()].filter(member => member.isReady && this.isAlive(member, nowMs));
	}

	/** Number of hosts that served callers when they were last heard and fell silent a short time ago: they have failed or are behind a partition. */
	countSilent(nowMs: number): number {
		let count = 0;
		for (const member of this.#members.values()) {
			const isRecent = nowMs - member.lastSeenAtMs < SILENT_MEMBER_TIMEOUT_MS;
			count += member.isReady && isRecent && !this.isAlive(member, nowMs) ? 1 : 0;
		}

		return count;
	}

	/**
	 * Returns this host's rank as reader of the source among the live hosts. Hosts that
	 * can read the source precede those that cannot, or only slowly; otherwise the lower
	 * hash precedes.
	 */
	rank(nowMs: number, isSelfFailing: boolean): ReaderRank {
		let overall = 0;
		let inZone = 0;
		let zoneSize = 1;
		for (const member of this.#members.values()) {
			if (!this.isAlive(member, nowMs)) {
				continue;
			}

			const precedes = Number(member.isSourceFailing === isSelfFailing ? member.hash < this.hash : isSelfFailing);
			overall += precedes;
			if (member.entry.zone === this.self.zone) {
				inZone += precedes;
				zoneSize++;
			}
		}

		return {overall, inZone, zoneSize};
	}

	#reindex(): void {
		this.#byZone.clear();
		for (const member of [...this.#members.values()].toSorted((a, b) => a.hash - b.hash)) {
			const {zone} = member.entry;
			const list = this.#byZone.get(zone);
			if (list) {
				list.push(member);
			} else {
				this.#byZone.set(zone, [member]);
			}
		}
	}
}
