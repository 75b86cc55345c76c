import {hashText} from '@apricotwood/routing';
import type {HostEntry} from '../source.js';

/** A host as this one hears it. */
export type Member = {
	readonly entry: HostEntry;
	readonly hash: number;
	/** Monotonic ms of its last message; `-Infinity` before the first. */
	heardAtMs: number;
	/** Whether it says that it serves callers. */
	isReady: boolean;
	/** Whether it says that it cannot read the source. */
	isSourceFailing: boolean;
};

/** A host that is silent for longer than this is not named to callers and reads for nobody, ms. */
const SILENCE_MS = 1200;

/** All other hosts that this one knows of. Instants are monotonic ms. */
export class Members {
	readonly #members = new Map<string, Member>();
	readonly #hash: number;

	constructor(private readonly self: HostEntry) {
		this.#hash = hashText(self.id);
	}

	/** Registered hosts, this one included, whether heard or not. */
	get count(): number {
		return this.#members.size + 1;
	}

	all(): Iterable<Member> {
		return this.#members.values();
	}

	findByAddress(ip: string, port: number): Member | undefined {
		for (const member of this.#members.values()) {
			if (member.entry.ip === ip && member.entry.peerPort === port) {
				return member;
			}
		}

		return undefined;
	}

	/** Takes a host's entry. @returns whether it was not known, or is a newer process. */
	put(entry: HostEntry): boolean {
		const before = this.#members.get(entry.id);
		if (entry.id === this.self.id || (before && before.entry.startedMs >= entry.startedMs)) {
			return false;
		}

		this.#members.set(entry.id, {
			entry, hash: hashText(entry.id), heardAtMs: Number.NEGATIVE_INFINITY, isReady: false, isSourceFailing: false,
		});
		return true;
	}

	isAlive(member: Member, nowMs: number): boolean {
		return nowMs - member.heardAtMs < SILENCE_MS;
	}

	/** Living hosts that take callers. */
	ready(nowMs: number): Member[] {
		return [...this.#members.values()].filter(member => member.isReady && this.isAlive(member, nowMs));
	}

	/** Number of living hosts that read the source before this one, by hash. */
	rank(nowMs: number, isSelfFailing: boolean): number {
		let rank = 0;
		for (const member of this.#members.values()) {
			const isBetter = member.isSourceFailing === isSelfFailing ? member.hash < this.#hash : isSelfFailing;
			if (isBetter && this.isAlive(member, nowMs)) {
				rank++;
			}
		}

		return rank;
	}
}
