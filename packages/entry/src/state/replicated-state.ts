import type {Clock} from '@apricotwood/clock';
import {Fleet, type RouteTable} from '@apricotwood/steering';
import type {Log, Metrics} from '@apricotwood/telemetry';
import type {OperationsUpdate, WorkersUpdate} from '../source.js';
import {OperationsReplica} from './operations-replica.js';
import {getEpoch} from './revision.js';
import {
	compareStatus, createSyncStatus, refreshStatus, type PeerSyncStatus, type SyncStatus,
} from './sync-status.js';
import {WorkerReplica, type WorkerListener} from './worker-replica.js';

/** Revisions after which a peer is asked for changes: 0 requests everything, `Number.MAX_SAFE_INTEGER` nothing. */
export type CatchUpRequest = {
	readonly operations: number;
	readonly workers: number;
};

/** Changes that a peer has requested; a data set is `undefined` if it has not changed since the requested revision. */
export type CatchUpResponse = {
	readonly operations: OperationsUpdate | undefined;
	readonly workers: WorkersUpdate | undefined;
	/** Ages of the two data sets when the response was built, ms. */
	readonly operationsAgeMs: number;
	readonly workersAgeMs: number;
	/** Revisions of the last updates that changed the responding host's data. */
	readonly operationsChanged: number;
	readonly workersChanged: number;
	/** Fingerprint of the responding host's workers, as in `PeerSyncStatus`. */
	readonly workersPrint: number;
};

/**
 * Largest age of the worker data, ms, at which the source's removals apply at
 * once. Above it, missing or removed entries may have expired during a source
 * outage, so they are kept for `REWRITE_GRACE_MS`.
 */
const SOURCE_OUTAGE_MS = 2000;
/** Time a live worker has to write its expired or lost entry again before it is removed, and the operator a lost evacuation before it ends, ms. */
const REWRITE_GRACE_MS = 2300;

/** What a change is about; part of the name of the metric with the upper bound of the time from its being made until it is in force on this host. */
enum StateChange {
	Config = 'config',
	Evacuation = 'evacuation',
	Workers = 'workers',
}

/** Receives notifications of state changes. */
export interface StateListener extends WorkerListener {
	/** Called after each applied update, even if the data did not change, and after expired data was removed. */
	onUpdateApplied(): void;
}

/**
 * This host's replica of the operations and worker data, updated from the
 * source and from peers. Updates older than the replica are ignored.
 *
 * A source that was restored from an older copy starts a new epoch (see
 * `composeRevision`). What the copy lacks is kept for a grace period, in which
 * it is written again.
 */
export class ReplicatedState {
	readonly fleet: Fleet;
	readonly operations: SyncStatus = createSyncStatus();
	readonly workers: SyncStatus = createSyncStatus();
	readonly #operationsReplica: OperationsReplica;
	readonly #workerReplica: WorkerReplica;

	constructor(
		private readonly clock: Clock,
		private readonly log: Log,
		private readonly metrics: Metrics,
		private readonly listener: StateListener,
		regions: ReadonlyMap<string, string>,
	) {
		this.fleet = new Fleet(regions);
		this.#operationsReplica = new OperationsReplica(log, REWRITE_GRACE_MS);
		this.#workerReplica = new WorkerReplica(this.fleet, log, listener);
	}

	/** Current routes; `undefined` before the first configuration. */
	get table(): RouteTable | undefined {
		return this.#operationsReplica.table;
	}

	/** Whether both data sets have been loaded at least once. */
	get isLoaded(): boolean {
		return this.table !== undefined && this.workers.cursor > 0;
	}

	/** Whether a peer has announced a change of the operations that this host lacks. */
	get lacksOperations(): boolean {
		return this.operations.missingSinceMs !== undefined;
	}

	/** Latest epoch of the source that is known. */
	get epoch(): number {
		return getEpoch(Math.max(this.operations.cursor, this.workers.cursor));
	}

	/** Age of the older of the two data sets, ms. */
	ageMs(): number {
		return this.clock.monotonic() - Math.min(this.operations.freshAtMs, this.workers.freshAtMs);
	}

	/**
	 * @param freshAtMs monotonic time at which the update is known to have matched the source, ms.
	 * @param changeRevision revision to record if the data changes. For an update from a peer, the revision that the peer has recorded, so that all hosts record the same one.
	 */
	applyOperations(update: OperationsUpdate, freshAtMs: number, changeRevision = update.revision): void {
		if (update.revision < this.operations.cursor) {
			return;
		}

		const nowMs = this.clock.monotonic();
		const isNewEpoch = this.#isNewEpoch(this.operations, update.revision);
		const maxDelayMs = computeMaxDelayMs(this.operations, nowMs);
		const {missingSinceMs} = this.operations;
		const {hasNewConfig, haveZonesChanged} = this.#operationsReplica.apply(update, {
			isNewEpoch, maxDelayMs, sinceHeardMs: missingSinceMs === undefined ? undefined : Math.round(nowMs - missingSinceMs), nowMs,
		});
		if (hasNewConfig) {
			this.operations.changedRevision = changeRevision;
			this.#recordDelay(StateChange.Config, maxDelayMs);
		}

		if (haveZonesChanged) {
			this.#recordZoneChange(changeRevision, maxDelayMs);
			this.#recordDelay(StateChange.Evacuation, maxDelayMs);
		}

		refreshStatus(this.operations, update.revision, freshAtMs);
		this.listener.onUpdateApplied();
	}

	/** @param isFromPeer whether the update comes from a peer, which has already waited for expired entries to be written again, but may not have had the entries that a restored source lost. */
	applyWorkers(update: WorkersUpdate, freshAtMs: number, changeRevision = update.revision, isFromPeer = false): void {
		if (update.revision < this.workers.cursor) {
			return;
		}

		const nowMs = this.clock.monotonic();
		const isNewEpoch = this.#isNewEpoch(this.workers, update.revision);
		const isFirst = this.workers.cursor === 0;
		const isAfterOutage = !isFirst && nowMs - this.workers.freshAtMs > SOURCE_OUTAGE_MS;
		const hasChanged = this.#workerReplica.apply(update, {
			isNewEpoch,
			removalDelayMs: isNewEpoch || (isAfterOutage && !isFromPeer) ? REWRITE_GRACE_MS : 0,
			// The peer may be alone in not having seen the removal: it may have stood still. This host decides as if it had read of it itself.
			unconfirmedDelayMs: isNewEpoch || isAfterOutage || isFirst ? REWRITE_GRACE_MS : 0,
			addsUnconfirmed: isFirst,
			nowMs,
		});
		if (hasChanged) {
			this.workers.changedRevision = changeRevision;
			this.#recordDelay(StateChange.Workers, computeMaxDelayMs(this.workers, nowMs));
		}

		refreshStatus(this.workers, update.revision, freshAtMs);
		this.listener.onUpdateApplied();
	}

	/** Removes workers and ends evacuations whose entries expired or were lost and were not written again within the grace period. */
	sweep(): void {
		const nowMs = this.clock.monotonic();
		const haveZonesChanged = this.#operationsReplica.sweep(nowMs);
		if (haveZonesChanged) {
			this.#recordZoneChange(this.operations.cursor);
		}

		const haveWorkersChanged = this.#workerReplica.sweep(this.workers.cursor, nowMs);
		if (haveWorkersChanged) {
			this.workers.changedRevision = this.workers.cursor;
		}

		if (haveZonesChanged || haveWorkersChanged) {
			this.listener.onUpdateApplied();
		}
	}

	/** Returns the replication status of both data sets, to be sent to peers. */
	reportStatus(): {operations: PeerSyncStatus; workers: PeerSyncStatus} {
		return {operations: this.#reportStatusOf(this.operations, this.#operationsReplica.fingerprint), workers: this.#reportStatusOf(this.workers, this.#workerReplica.fingerprint)};
	}

	/**
	 * Compares the replica with a peer's status; see `compareStatus`.
	 * @param isDirect whether the peer itself has sent its status.
	 * @returns what to request from the peer; `undefined` if this host lacks nothing that the peer has.
	 */
	compareWithPeer(operations: PeerSyncStatus, workers: PeerSyncStatus, isDirect = true): CatchUpRequest | undefined {
		const nowMs = this.clock.monotonic();
		const operationsRevision = compareStatus(this.operations, this.#operationsReplica.fingerprint, operations, nowMs, isDirect);
		const workersRevision = compareStatus(this.workers, this.#workerReplica.fingerprint, workers, nowMs, isDirect);
		if (operationsRevision === undefined && workersRevision === undefined) {
			return undefined;
		}

		return {operations: operationsRevision ?? Number.MAX_SAFE_INTEGER, workers: workersRevision ?? Number.MAX_SAFE_INTEGER};
	}

	/**
	 * Applies a peer's response.
	 * @param requestedAtMs monotonic time at which the request was sent, ms.
	 */
	applyCatchUp(response: CatchUpResponse, requestedAtMs: number): void {
		const {operations, workers, operationsChanged, workersChanged} = response;
		// A response may be overtaken by a later one of another peer.
		if (operations && operations.revision >= this.operations.cursor) {
			this.applyOperations(operations, requestedAtMs - response.operationsAgeMs, operationsChanged);
			this.operations.changedRevision = Math.max(this.operations.changedRevision, operationsChanged);
		}

		if (workers && workers.revision >= this.workers.cursor) {
			this.applyWorkers(workers, requestedAtMs - response.workersAgeMs, workersChanged, true);
			this.workers.changedRevision = Math.max(this.workers.changedRevision, workersChanged);
			this.workers.hasFingerprintMismatch = this.#workerReplica.fingerprint !== response.workersPrint;
		}
	}

	/** Builds the response with all changes after the given revisions. Counts what is sent: configurations and workers. */
	buildCatchUpResponse(operationsRevision: number, workersRevision: number): CatchUpResponse {
		const nowMs = this.clock.monotonic();
		const operations = this.operations.changedRevision > operationsRevision ? this.#operationsReplica.buildSnapshot(this.operations.cursor) : undefined;
		const workers = this.workers.changedRevision > workersRevision ? this.#workerReplica.buildUpdate(workersRevision, this.workers.cursor) : undefined;
		this.metrics.count('catch-up.served.operations', operations ? 1 : 0);
		this.metrics.count('catch-up.served.workers', workers?.changed.length ?? 0);
		return {
			operations,
			workers,
			operationsAgeMs: nowMs - this.operations.freshAtMs,
			workersAgeMs: nowMs - this.workers.freshAtMs,
			operationsChanged: this.operations.changedRevision,
			workersChanged: this.workers.changedRevision,
			workersPrint: this.#workerReplica.fingerprint,
		};
	}

	/** Whether an update with this revision is the first one after the source was restored from an older copy. */
	#isNewEpoch({cursor}: SyncStatus, revision: number): boolean {
		const isNewEpoch = cursor > 0 && getEpoch(revision) > getEpoch(cursor);
		if (isNewEpoch) {
			this.log.warn({event: 'source-restored', epoch: getEpoch(revision), previousEpoch: getEpoch(cursor), revision, previousRevision: cursor});
		}

		return isNewEpoch;
	}

	#recordDelay(change: StateChange, maxDelayMs: number | undefined): void {
		if (maxDelayMs !== undefined) {
			this.metrics.latency(`changes.${change}`, maxDelayMs);
		}
	}

	/** @param maxDelayMs upper bound of the time since the change was made, ms; `undefined` if this host has made it. */
	#recordZoneChange(revision: number, maxDelayMs?: number): void {
		const {evacuatedZones, unconfirmedZones, table} = this.#operationsReplica;
		this.operations.changedRevision = revision;
		this.fleet.setEvacuated(evacuatedZones, this.clock.monotonic(), service => table?.getService(service)?.warmupMs ?? 0);
		this.log.info({event: 'evacuation', zones: [...evacuatedZones], unconfirmed: [...unconfirmedZones], revision, maxDelayMs});
	}

	#reportStatusOf({changedRevision, cursor, freshAtMs}: SyncStatus, fingerprint: number): PeerSyncStatus {
		return {
			changedRevision, cursor, ageMs: this.clock.monotonic() - freshAtMs, fingerprint,
		};
	}
}

/** Upper bound of the time since a change was made which an update contains and the data lacks, ms: the data matched the source before it. `undefined` for the first update. */
function computeMaxDelayMs({freshAtMs}: SyncStatus, nowMs: number): number | undefined {
	return Number.isFinite(freshAtMs) ? Math.round(nowMs - freshAtMs) : undefined;
}
