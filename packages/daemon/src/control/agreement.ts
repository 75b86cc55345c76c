import {
	AgreementState, EMPTY_AGREEMENT, applyChanges, applyPatch, checkAgreement, type Agreement, type BlockChange, type Change, type Patch,
} from '@apricotwood/agreement';
import {BlockTable, parsePrefix} from '@apricotwood/blocks';
import type {Clock} from '@apricotwood/clock';
import {
	type ObjectStore, type Row, type RowWrite, type Table,
} from '@apricotwood/store';
import {CONTROL_PREFIX} from './feed.js';

const HEAD_KEY = `${CONTROL_PREFIX}agreement/head`;
/** Key prefix of the table rows that store accepted versions. */
export const VERSION_PREFIX = `${CONTROL_PREFIX}agreement/version/`;
const PATCH_PREFIX = 'agreement-patch/';
const SNAPSHOT_KEY = 'agreement-snapshot';
/** A snapshot is written when the version has reached or passed the next multiple of this. */
const SNAPSHOT_INTERVAL_VERSIONS = 100;

/** Stored row of one accepted version: the changes that it makes to the version before. */
export type VersionRecord = {
	readonly version: number;
	readonly patchId: string;
	readonly operator: string;
	/** Time of acceptance, Unix ms. */
	readonly acceptedAtMs: number;
	readonly changes: readonly Change[];
};

type HeadRow = {readonly version: number};
type PatchRow = {readonly version: number};
type SnapshotRow = {readonly object: string; readonly tableVersion: number};
type Snapshot = {readonly version: number; readonly agreement: Agreement};

/** Outcome of committing a patch. */
export enum CommitOutcome {
	/** The patch is a committed version, possibly one committed by an earlier call. */
	Accepted = 'accepted',
	/** The patch is based on a version that is no longer current; nothing was written. */
	Stale = 'stale',
}

/** Result of committing a patch; for a stale patch, the current version and the versions accepted since its base. */
export type Commit
	= | {readonly outcome: CommitOutcome.Accepted; readonly record: VersionRecord; readonly isRepeat: boolean}
		| {readonly outcome: CommitOutcome.Stale; readonly current: number; readonly since: readonly VersionRecord[]};

export type AgreementReplicaOptions = {
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly clock: Clock;
	/** Reads all outstanding changes of the control rows; rejects with a `PlatformError` if the platform does not reply. */
	readonly refresh: () => Promise<void>;
	/** Called for each version that is applied on this host, in order. */
	readonly onVersion: (state: AgreementState, record: VersionRecord) => void;
};

/**
 * This host's replica of the agreement: applies accepted versions in order and
 * commits patches. The applied version never decreases. Records may arrive from
 * the table or from peers, out of order and more than once.
 */
export class AgreementReplica {
	#state = new AgreementState(0, EMPTY_AGREEMENT);
	/** Version of the last snapshot that this host has loaded or written. */
	#snapshotVersion = 0;
	#blocks = new BlockTable();
	readonly #records = new Map<number, VersionRecord>();

	constructor(private readonly options: AgreementReplicaOptions) {}

	get state(): AgreementState {
		return this.#state;
	}

	/** Client blocks of the current version. The table is updated in place, so that a version costs only as much as the blocks it changes. */
	get blocks(): BlockTable {
		return this.#blocks;
	}

	/** The current agreement including its client blocks. */
	get fullAgreement(): Agreement {
		return {...this.#state.agreement, blocks: [...this.#blocks.entries()]};
	}

	/** Returns the accepted versions after `version` that are in memory, oldest first. Versions covered by a loaded snapshot are missing. */
	recordsSince(version: number): VersionRecord[] {
		const records: VersionRecord[] = [];
		for (let next = version + 1; next <= this.#state.version; next++) {
			const record = this.#records.get(next);
			if (record) {
				records.push(record);
			}
		}

		return records;
	}

	/**
	 * Loads the latest snapshot, if there is one.
	 * @returns the table version from which to scan for later changes; 0 without a snapshot.
	 * @throws {PlatformError} if the platform does not reply.
	 */
	async loadSnapshot(): Promise<number> {
		const row = await this.options.table.read(SNAPSHOT_KEY);
		if (!row) {
			return 0;
		}

		const {object, tableVersion} = row.value as SnapshotRow;
		const body = await this.options.objects.get(object);
		if (body === undefined) {
			return 0;
		}

		const {version, agreement} = JSON.parse(body) as Snapshot;
		this.#snapshotVersion = version;
		if (version > this.#state.version) {
			const {blocks, ...core} = checkAgreement(agreement);
			this.#blocks = buildBlockTable(blocks);
			this.#state = new AgreementState(version, core);
		}

		return tableVersion;
	}

	/** Applies table rows; ignores rows that are not accepted versions. */
	applyRows(rows: readonly Row[]): void {
		for (const row of rows) {
			if (row.key.startsWith(VERSION_PREFIX) && row.value !== undefined) {
				this.addRecord(row.value as VersionRecord);
			}
		}
	}

	/** Stores an accepted version and applies all versions that follow the current one without a gap. */
	addRecord(record: VersionRecord): void {
		if (record.version <= this.#state.version || this.#records.has(record.version)) {
			return;
		}

		this.#records.set(record.version, record);
		for (let next = this.#records.get(this.#state.version + 1); next; next = this.#records.get(this.#state.version + 1)) {
			const {core, blocks} = applyChanges(this.#state.agreement, next.changes);
			this.#state = new AgreementState(next.version, core);
			applyBlockChanges(this.#blocks, blocks);
			this.options.onVersion(this.#state, next);
		}
	}

	/**
	 * Commits a patch as the next version, in one transaction. If the reply is lost,
	 * the row of the patch id decides whether the commit took effect.
	 * @throws {FindingsError} if the patch or the resulting agreement is invalid.
	 * @throws {PlatformError} if the platform does not reply. The patch may still take effect; retrying it is idempotent.
	 */
	async commit(patch: Patch, operator: string): Promise<Commit> {
		await this.options.refresh();
		const accepted = await this.#findAccepted(patch.id);
		if (accepted) {
			return accepted;
		}

		const {version, agreement} = this.#state;
		if (patch.against !== version) {
			return this.#rejectStale(patch.against);
		}

		applyPatch(agreement, this.#blocks, patch);
		const record: VersionRecord = {
			version: version + 1, patchId: patch.id, operator, acceptedAtMs: this.options.clock.now(), changes: patch.changes,
		};
		return this.#writeRecord(record, patch);
	}

	/**
	 * Writes a snapshot if the version has reached or passed a multiple of the snapshot interval since the last one that this host knows.
	 * Without it, a starting host only has more versions to read.
	 * @returns whether a snapshot was written.
	 * @throws {PlatformError} if the platform does not reply.
	 */
	async writeSnapshotIfDue(tableVersion: number): Promise<boolean> {
		const {version} = this.#state;
		if (Math.floor(version / SNAPSHOT_INTERVAL_VERSIONS) <= Math.floor(this.#snapshotVersion / SNAPSHOT_INTERVAL_VERSIONS)) {
			return false;
		}

		const object = `agreement/${version}`;
		const snapshot: Snapshot = {version, agreement: this.fullAgreement};
		await this.options.objects.put(object, JSON.stringify(snapshot));
		const row: SnapshotRow = {object, tableVersion};
		await this.options.table.commit([{key: SNAPSHOT_KEY, value: row, expected: undefined}]);
		this.#snapshotVersion = version;
		return true;
	}

	async #writeRecord(record: VersionRecord, patch: Patch): Promise<Commit> {
		const head = await this.options.table.read(HEAD_KEY);
		const headRow: HeadRow = {version: record.version};
		const patchRow: PatchRow = {version: record.version};
		const writes: RowWrite[] = [
			{key: HEAD_KEY, value: headRow, expected: head?.version ?? 0},
			{key: versionKey(record.version), value: record, expected: 0},
			{key: PATCH_PREFIX + patch.id, value: patchRow, expected: 0},
		];
		try {
			const result = await this.options.table.commit(writes);
			if (result.ok) {
				this.addRecord(record);
				return {outcome: CommitOutcome.Accepted, record, isRepeat: false};
			}
		} catch (error) {
			const resolved = await this.#resolveLostReply(patch.id, error as Error);
			return resolved;
		}

		await this.options.refresh();
		return await this.#findAccepted(patch.id) ?? this.#rejectStale(patch.against);
	}

	/** Resolves a commit whose reply was lost: the row of the patch id exists if it took effect. */
	async #resolveLostReply(patchId: string, error: Error): Promise<Commit> {
		try {
			const accepted = await this.#findAccepted(patchId);
			if (accepted?.outcome === CommitOutcome.Accepted) {
				await this.options.refresh();
				return {...accepted, isRepeat: false};
			}
		} catch {}

		throw error;
	}

	async #findAccepted(patchId: string): Promise<Commit | undefined> {
		const row = await this.options.table.read(PATCH_PREFIX + patchId);
		if (!row) {
			return undefined;
		}

		const {version} = row.value as PatchRow;
		const record = this.#records.get(version) ?? await this.#readRecord(version);
		return {outcome: CommitOutcome.Accepted, record, isRepeat: true};
	}

	async #readRecord(version: number): Promise<VersionRecord> {
		const row = await this.options.table.read(versionKey(version));
		if (!row) {
			throw new Error(`agreement version ${version} is missing from the table`);
		}

		this.addRecord(row.value as VersionRecord);
		return row.value as VersionRecord;
	}

	#rejectStale(against: number): Commit {
		return {outcome: CommitOutcome.Stale, current: this.#state.version, since: this.recordsSince(against)};
	}
}

/** Row key of a version, zero-padded so that keys sort by version number. */
function versionKey(version: number): string {
	return VERSION_PREFIX + String(version).padStart(12, '0');
}

function buildBlockTable(blocks: Agreement['blocks']): BlockTable {
	const table = new BlockTable();
	for (const {prefix, site} of blocks) {
		const parsed = parsePrefix(prefix);
		if (parsed.ok) {
			table.set(parsed.prefix, site);
		}
	}

	return table;
}

function applyBlockChanges(table: BlockTable, changes: readonly BlockChange[]): void {
	for (const {prefix, site} of changes) {
		if (site === undefined) {
			table.delete(prefix);
		} else {
			table.set(prefix, site);
		}
	}
}
