import type {HostEntry} from '../source.js';
import type {MemberList} from './members.js';

/** Every n-th heartbeat includes the sender's own entry. */
const ENTRY_PERIOD_HEARTBEATS = 8;
/** Number of heartbeats in which a relay includes the entry of a newly discovered host. */
const NEW_ENTRY_HEARTBEATS = 3;
/** Maximum number of entries of newly discovered hosts in one heartbeat. */
const MAX_NEW_ENTRIES = 8;

/** Selects the host entries that heartbeats include, so that hosts which know different ones learn of all. */
export class HostEntryQueue {
	/** Entries of newly discovered hosts, with the number of heartbeats that still have to include them. */
	#newEntries: Array<{readonly entry: HostEntry; remainingHeartbeats: number}> = [];

	constructor(private readonly members: MemberList) {}

	/** Adds the entry of a newly discovered host. */
	add(entry: HostEntry): void {
		this.#newEntries.push({entry, remainingHeartbeats: NEW_ENTRY_HEARTBEATS});
	}

	/**
	 * Takes the entries for the next heartbeat: newly discovered hosts, and
	 * alternately this host and another host of its zone, each once per period.
	 * @param heartbeatCount number of heartbeats sent before.
	 */
	take(heartbeatCount: number): HostEntry[] {
		const entries = this.#takeNewEntries();
		const {self} = this.members;
		const others = this.members.inZone(self.zone);
		const phase = heartbeatCount % ENTRY_PERIOD_HEARTBEATS;
		if (phase === 0) {
			entries.push(self);
		} else if (phase === ENTRY_PERIOD_HEARTBEATS / 2 && others.length > 0) {
			entries.push(others[Math.floor(heartbeatCount / ENTRY_PERIOD_HEARTBEATS) % others.length]!.entry);
		}

		return entries;
	}

	#takeNewEntries(): HostEntry[] {
		const batch = this.#newEntries.slice(0, MAX_NEW_ENTRIES);
		for (const newEntry of batch) {
			newEntry.remainingHeartbeats--;
		}

		this.#newEntries = this.#newEntries.filter(({remainingHeartbeats}) => remainingHeartbeats > 0);
		return batch.map(({entry}) => entry);
	}
}
