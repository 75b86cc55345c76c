import {
	ResourceKind, listResources, type AgreementState, type Resource,
} from '@apricotwood/agreement';
import {
	CandidateIndex, EMPTY_SHARE, countFreeUnits, divideUnits, planHeldUnits, removeGoneHolders, setHolderUnits, type HostDemand, type Holdings, type ShareRow,
} from '@apricotwood/ledger';
import type {Row, RowWrite, Table} from '@apricotwood/store';
import {holderOf, type Identity} from '../host/identity.js';
import {HostPhase} from '../host/phase.js';
import {CONTROL_PREFIX} from './feed.js';
import {type LeaseRow, type Membership} from './membership.js';

/** Prefix of the rows that hold the shares of resources. */
export const SHARE_PREFIX = `${CONTROL_PREFIX}share/`;

/** Most rows changed by one transaction. */
const MAX_BATCH_ROWS = 64;

type Share = {
	readonly row: ShareRow;
	readonly version: number;
};

/** A write whose reply was lost: until the row has moved on it may still take effect. */
type UncertainWrite = {
	/** The fewest units that our entry may hold. */
	readonly minUnits: number;
	readonly expected: number;
};

export type LedgerOptions = {
	readonly table: Table;
	readonly holdings: Holdings;
	readonly membership: Membership;
	readonly self: Identity;
	/** Called for each change of an entry of this host. */
	readonly onChange: (key: string, before: number, after: number, reason: LedgerReason) => void;
};

/** Why an entry changed. */
export enum LedgerReason {
	Claim = 'claim',
	Release = 'release',
	Reclaim = 'reclaim',
}

type PlannedWrite = {
	readonly resource: Resource;
	readonly write: RowWrite;
	readonly nextRow: ShareRow;
	readonly held: number;
	readonly nextHeld: number;
	readonly target: number;
	readonly hasReclaimed: boolean;
};

/**
 * This host's part in the ledger of shares. It changes only its own entries and
 * those of holders known to be gone, each by compare-and-swap. Holdings are
 * granted no more than the entry surely holds.
 */
export class LedgerAgent {
	readonly #shares = new Map<string, Share>();
	readonly #uncertainWrites = new Map<string, UncertainWrite>();
	readonly #holder: string;
	#resources: readonly Resource[] = [];
	readonly #candidates = new CandidateIndex();
	#targets = new Map<string, number>();
	#isReleasingAll = false;

	constructor(private readonly options: LedgerOptions) {
		this.#holder = holderOf(options.self);
	}

	/** Takes share rows from the table. */
	applyRows(rows: readonly Row[]): void {
		for (const {key, value, version} of rows) {
			this.#applyRow(key.slice(SHARE_PREFIX.length), (value as ShareRow | undefined) ?? EMPTY_SHARE, version);
		}
	}

	/** Takes a new version's resources; lowered limits apply to new work at once. */
	applyAgreement(state: AgreementState): void {
		this.#resources = listResources(state);
		this.#candidates.setResources(this.#resources.filter(resource => this.#isEligible(resource)));
		this.options.holdings.revokeUnlisted(this.#resources);
		this.adjustGrants();
	}

	/** From now on every unit is given back as soon as no request runs on it. */
	releaseAll(): void {
		this.#isReleasingAll = true;
	}

	/** Units of a resource that a holder has, by the newest known row. */
	unitsHeldBy(key: string, holder: string): number {
		return this.#shares.get(key)?.row.held[holder] ?? 0;
	}

	/** The newest known row of a resource. */
	rowOf(key: string): ShareRow {
		return this.#shares.get(key)?.row ?? EMPTY_SHARE;
	}

	get resources(): readonly Resource[] {
		return this.#resources;
	}

	/** Resources of which this host still uses more than its target, so that a lowered limit is pending. */
	get pending(): string[] {
		const keys: string[] = [];
		for (const {key, limit} of this.#resources) {
			const isOver = countFreeUnits(this.rowOf(key), limit) < 0;
			if (isOver && this.unitsHeldBy(key, this.#holder) > (this.#targets.get(key) ?? 0)) {
				keys.push(key);
			}
		}

		return keys;
	}

	/** Whether the table may still hold units for this host. */
	get holdsUnits(): boolean {
		if (this.#uncertainWrites.size > 0) {
			return true;
		}

		for (const {row} of this.#shares.values()) {
			if (row.held[this.#holder] !== undefined) {
				return true;
			}
		}

		return false;
	}

	/** Recomputes targets and takes what exceeds them out of use at once. */
	adjustGrants(): void {
		this.#targets = this.#computeTargets();
		for (const {key} of this.#resources) {
			this.#updateGrant(key);
		}
	}

	/**
	 * One round of releases, claims and reclaims.
	 * @returns whether anything was written.
	 * @throws when the platform gives no answer; entries then stay as they are.
	 */
	async adjust(): Promise<boolean> {
		this.adjustGrants();
		const planned = this.#planWrites();
		for (let start = 0; start < planned.length; start += MAX_BATCH_ROWS) {
			await this.#commit(planned.slice(start, start + MAX_BATCH_ROWS)); // eslint-disable-line no-await-in-loop
		}

		return planned.length > 0;
	}

	#planWrites(): PlannedWrite[] {
		const planned: PlannedWrite[] = [];
		const known = new Set<string>();
		for (const resource of this.#resources) {
			known.add(resource.key);
			const write = this.#isEligible(resource) ? this.#planWrite(resource) : undefined;
			if (write) {
				planned.push(write);
			}
		}

		for (const [key, {row}] of this.#shares) {
			if (!known.has(key) && row.held[this.#holder] !== undefined) {
				const write = this.#planWrite({
					key, kind: ResourceKind.Worker, limit: 0, region: undefined, group: '',
				});
				if (write) {
					planned.push(write);
				}
			}
		}

		return planned;
	}

	#planWrite(resource: Resource): PlannedWrite | undefined {
		const {key, limit} = resource;
		const share = this.#shares.get(key) ?? {row: EMPTY_SHARE, version: 0};
		const reclaimed = removeGoneHolders(share.row, holder => holder !== this.#holder && this.options.membership.isHolderGone(holder));
		const hasReclaimed = Object.keys(reclaimed.held).length < Object.keys(share.row.held).length;
		const held = share.row.held[this.#holder] ?? 0;
		const {inUse} = this.options.holdings.get(key);
		const target = this.#targets.get(key) ?? 0;
		const nextHeld = planHeldUnits({target, held, inUse}, countFreeUnits(reclaimed, limit));
		if (nextHeld === held && !hasReclaimed && !this.#uncertainWrites.has(key)) {
			return undefined;
		}

		const nextRow = setHolderUnits(reclaimed, this.#holder, nextHeld);
		return {
			resource, nextRow: nextRow, held, nextHeld: nextHeld, target, hasReclaimed, write: {key: SHARE_PREFIX + key, value: nextRow, expected: share.version},
		};
	}

	/** Writes a batch; rows that others changed meanwhile are left for the next round. */
	async #commit(planned: readonly PlannedWrite[]): Promise<void> {
		let remaining = planned;
		while (remaining.length > 0) {
			const batch = remaining;
			this.#markUncertain(batch);
			const result = await this.options.table.commit(batch.map(({write}) => write)); // eslint-disable-line no-await-in-loop
			if (result.ok) {
				this.#recordWritten(batch, result.version);
				return;
			}

			const conflicts = new Set(result.conflicts);
			remaining = batch.filter(({write}) => !conflicts.has(write.key));
		}
	}

	/** Before a write is sent, nothing above the smaller of both entries may be used. */
	#markUncertain(batch: readonly PlannedWrite[]): void {
		for (const {resource: {key}, held, nextHeld: nextHeld, write} of batch) {
			const minUnits = Math.min(held, nextHeld, this.#uncertainWrites.get(key)?.minUnits ?? held);
			this.#uncertainWrites.set(key, {minUnits: minUnits, expected: write.expected ?? 0});
			this.#updateGrant(key);
		}
	}

	#recordWritten(batch: readonly PlannedWrite[], version: number): void {
		for (const {resource: {key}, nextRow: nextRow, held, nextHeld: nextHeld, hasReclaimed} of batch) {
			this.#applyRow(key, nextRow, version);
			this.#updateGrant(key);
			if (hasReclaimed) {
				this.options.onChange(key, held, nextHeld, LedgerReason.Reclaim);
			} else if (nextHeld !== held) {
				this.options.onChange(key, held, nextHeld, nextHeld > held ? LedgerReason.Claim : LedgerReason.Release);
			}
		}
	}

	#applyRow(key: string, row: ShareRow, version: number): void {
		const known = this.#shares.get(key);
		if (known && known.version >= version) {
			return;
		}

		this.#shares.set(key, {row, version});
		const uncertain = this.#uncertainWrites.get(key);
		if (uncertain && version > uncertain.expected) {
			// The row has moved past the version that the lost write expected; it can no longer take effect.
			this.#uncertainWrites.delete(key);
		}

		this.#updateGrant(key);
	}

	/** Lets the request path use what the entry surely holds, and no more than the target. */
	#updateGrant(key: string): void {
		const held = this.unitsHeldBy(key, this.#holder);
		const minUnits = this.#uncertainWrites.get(key)?.minUnits ?? held;
		const target = this.#targets.get(key) ?? 0;
		this.options.holdings.get(key).setGranted(Math.min(held, minUnits, this.#isReleasingAll ? held : target));
	}

	/** Targets of the resources that this host may hold; of others it holds nothing. */
	#computeTargets(): Map<string, number> {
		const targets = new Map<string, number>();
		if (this.#isReleasingAll) {
			return targets;
		}

		const {self} = this.options;
		const leases = new Map<string, LeaseRow>();
		for (const {lease} of this.options.membership.hosts) {
			if (canHoldUnits(lease)) {
				leases.set(lease.id, lease);
			}
		}

		this.#candidates.setHosts([...leases.values()]);
		for (const resource of this.#resources) {
			if (this.#candidates.isCandidate(resource.key, self.id)) {
				const hosts = this.#candidates.candidatesOf(resource.key).map(id => toHostDemand(id, leases.get(id), resource));
				targets.set(resource.key, divideUnits(resource.key, resource.limit, hosts).get(self.id) ?? 0);
			}
		}

		return targets;
	}

	#isEligible(resource: Resource): boolean {
		return resource.region === undefined || resource.region === this.options.self.region;
	}
}

/** Whether a host should hold units at all. */
function canHoldUnits(lease: LeaseRow): boolean {
	return lease.phase === HostPhase.Ready || lease.phase === HostPhase.Starting;
}

function toHostDemand(id: string, lease: LeaseRow | undefined, resource: Resource): HostDemand {
	return {id, demand: lease?.demand[resource.group] ?? 0};
}
