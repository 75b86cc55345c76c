import {hashText} from '@apricotwood/routing';
import type {Fleet, WorkerRegistration} from '@apricotwood/steering';
import type {Log} from '@apricotwood/telemetry';
import type {WorkersUpdate} from '../source.js';
import {getEpoch} from './revision.js';
import {WorkerReports} from './worker-reports.js';

/** Record of a removed worker, for peers that have not seen the removal. */
type Tombstone = {
	readonly id: string;
	readonly revision: number;
};

/** Number of tombstones above which the older half is discarded. */
const MAX_TOMBSTONES = 1000;

/** Receives notifications of workers that come and go. */
export interface WorkerListener {
	/** Called when a worker has registered, restarted or changed its address. */
	onWorkerStart(id: string): void;
	/** Called when a worker is no longer registered. */
	onWorkerRemoved(id: string): void;
}

/** How an update of the workers is applied. */
export type WorkersUpdateOptions = {
	/** Whether the update is the first one after the source was restored from an older copy. */
	readonly isNewEpoch: boolean;
	/** Time after which missing workers are removed, ms; 0 removes them at once. */
	readonly removalDelayMs: number;
	/** The same for workers whose entries a peer misses. */
	readonly unconfirmedDelayMs: number;
	/** Whether unknown workers whose entries a peer misses are added as well. */
	readonly addsUnconfirmed: boolean;
	/** Monotonic ms. */
	readonly nowMs: number;
};

/**
 * Replica of the workers' registrations; keeps the `Fleet` up to date and records
 * which changes peers may lack. Reports that are older than known ones, which a
 * restored source returns, are ignored.
 */
export class WorkerReplica {
	readonly #reports = new WorkerReports();
	readonly #changedRevisions = new Map<string, number>();
	readonly #tombstones: Tombstone[] = [];
	/** Revision after which all tombstones are still kept. */
	#tombstonesCompleteFrom = 0;
	/** `undefined` if it has to be computed again. */
	#fingerprint: number | undefined;

	constructor(private readonly fleet: Fleet, private readonly log: Log, private readonly listener: WorkerListener) {}

	/** Hash of the ids, states, start times and addresses of the workers, without those whose removal is scheduled: a host that has seen the removal has them no more. */
	get fingerprint(): number {
		this.#fingerprint ??= this.#computeFingerprint();
		return this.#fingerprint;
	}

	/** @returns whether the data has changed. */
	apply(update: WorkersUpdate, options: WorkersUpdateOptions): boolean {
		const hasChanged = this.#applyChanged(update, options);
		const hasRemoved = this.#removeMissing(findRemovedIds(update, this.fleet), update.revision, options.removalDelayMs, options.nowMs);
		// A removal that is scheduled already stays so.
		const unconfirmed = (update.unconfirmed ?? []).filter(id => this.fleet.get(id)?.removeAtMs === undefined);
		const hasRemovedUnconfirmed = this.#removeMissing(unconfirmed, update.revision, options.unconfirmedDelayMs, options.nowMs);
		return hasChanged || hasRemoved || hasRemovedUnconfirmed;
	}

	/** Removes workers whose scheduled removal is due. @param revision revision to record. @returns whether any was removed. */
	sweep(revision: number, nowMs: number): boolean {
		const removedIds = this.fleet.removeDue(nowMs);
		for (const id of removedIds) {
			this.#recordRemoval(id, revision);
			this.log.info({event: 'worker-gone', worker: id, reason: 'its entry expired and was not written again'});
		}

		return removedIds.length > 0;
	}

	/** Builds an update with all changes after a revision. @param cursor revision up to which all updates are applied. */
	buildUpdate(revision: number, cursor: number): WorkersUpdate {
		const isWhole = revision < this.#tombstonesCompleteFrom || revision === 0;
		const changed: WorkerRegistration[] = [];
		const unconfirmed: string[] = [];
		for (const {registration: entry, removeAtMs} of this.fleet.all()) {
			if (isWhole || (this.#changedRevisions.get(entry.id) ?? 0) > revision) {
				changed.push(entry);
			}

			if (removeAtMs !== undefined) {
				unconfirmed.push(entry.id);
			}
		}

		const removed = this.#tombstones.filter(tombstone => tombstone.revision > revision && !this.fleet.get(tombstone.id)).map(({id}) => id);
		return {
			revision: cursor, isWhole, changed, removed, unconfirmed,
		};
	}

	/** Puts all changed entries that are not outdated. @returns whether the data has changed. */
	#applyChanged({revision, changed, unconfirmed = []}: WorkersUpdate, {isNewEpoch, addsUnconfirmed, nowMs}: WorkersUpdateOptions): boolean {
		const leftOut = new Set(addsUnconfirmed ? [] : unconfirmed);
		let hasChanged = false;
		for (const entry of changed) {
			if (leftOut.has(entry.id)) {
				continue;
			}

			if (getEpoch(revision) > 0 && this.#reports.isOutdated(entry, isNewEpoch)) {
				this.log.info({event: 'outdated-report', worker: entry.id, state: entry.state, sequence: entry.sequence, revision});
			} else {
				hasChanged = this.#put(entry, revision, nowMs) || hasChanged;
			}
		}

		return hasChanged;
	}

	/** Removes workers, or schedules their removal. @returns whether any was removed. */
	#removeMissing(ids: readonly string[], revision: number, delayMs: number, nowMs: number): boolean {
		let hasRemoved = false;
		for (const id of ids) {
			if (delayMs > 0) {
				this.fleet.scheduleRemoval(id, nowMs + delayMs);
				this.#fingerprint = undefined;
			} else {
				hasRemoved = this.#remove(id, revision) || hasRemoved;
			}
		}

		return hasRemoved;
	}

	#put(entry: WorkerRegistration, revision: number, nowMs: number): boolean {
		const isLaterColdReport = this.#reports.isLaterColdReport(entry);
		this.#reports.record(entry);
		const previous = this.fleet.get(entry.id);
		if (previous && previous.removeAtMs === undefined && !isLaterColdReport && isUnchanged(previous.registration, entry)) {
			return false;
		}

		if (this.fleet.put(entry, nowMs)) {
			this.listener.onWorkerStart(entry.id);
		}

		this.#fingerprint = undefined;
		this.#changedRevisions.set(entry.id, revision);
		this.log.info({
			event: 'worker', worker: entry.id, service: entry.service, zone: entry.zone, state: entry.state, coldMs: entry.coldMs, revision,
		});
		return true;
	}

	#remove(id: string, revision: number): boolean {
		if (!this.fleet.remove(id)) {
			return false;
		}

		this.#recordRemoval(id, revision);
		this.log.info({event: 'worker-gone', worker: id, reason: 'its entry was removed', revision});
		return true;
	}

	#recordRemoval(id: string, revision: number): void {
		this.#fingerprint = undefined;
		this.listener.onWorkerRemoved(id);
		this.#reports.recordRemoval(id);
		this.#changedRevisions.delete(id);
		this.#tombstones.push({id, revision});
		if (this.#tombstones.length > MAX_TOMBSTONES) {
			const [oldest] = this.#tombstones.splice(0, MAX_TOMBSTONES / 2);
			this.#tombstonesCompleteFrom = this.#tombstones[0]?.revision ?? oldest!.revision;
		}
	}

	#computeFingerprint(): number {
		let fingerprint = 0;
		for (const {registration: entry, removeAtMs} of this.fleet.all()) {
			if (removeAtMs !== undefined) {
				continue;
			}

			fingerprint = (fingerprint + hashText(`${entry.id} ${entry.state} ${entry.bornMs} ${entry.address}`)) % (2 ** 32);
		}

		return fingerprint;
	}
}

function findRemovedIds({isWhole, changed, removed}: WorkersUpdate, fleet: Fleet): string[] {
	if (!isWhole) {
		return [...removed];
	}

	const present = new Set(changed.map(({id}) => id));
	return Array.from(fleet.all(), ({registration: entry}) => entry.id).filter(id => !present.has(id));
}

/** Whether a new entry of a known worker has the same contents. A cold time of 0 is no change: the fleet only uses values above 0, to extend the cold period. */
function isUnchanged(previous: WorkerRegistration, next: WorkerRegistration): boolean {
	return previous.service === next.service && previous.address === next.address && previous.zone === next.zone && previous.slots === next.slots
		&& previous.state === next.state && previous.bornMs === next.bornMs && (next.coldMs === 0 || previous.coldMs === next.coldMs);
}
