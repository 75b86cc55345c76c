import type {Clock} from '@apricotwood/clock';
import {HostListing, isHolderGone, type HolderStatus} from '@apricotwood/ledger';
import {
	ListedState, type ListedAddress, type Row, type Table,
} from '@apricotwood/store';
import {hashText} from '@apricotwood/routing';
import {holderOf, type Identity} from '../host/identity.js';
import {HostPhase} from '../host/phase.js';
import {PhiAccrualDetector} from './detector.js';
import {type HostDigest} from './digest.js';
import {CONTROL_PREFIX} from './feed.js';

/** Prefix of the rows that hold hosts' leases. */
export const HOST_PREFIX = `${CONTROL_PREFIX}host/`;

/** A host's lease row. */
export type LeaseRow = Identity & {
	/** Unix ms. */
	readonly renewedAtMs: number;
	readonly phase: HostPhase;
	/** Units wanted at one time, by resource group: `service/NAME` or `member/NAME/SERVICE`. */
	readonly demand: Readonly<Record<string, number>>;
};

/** What is known of a host, from its lease and from peers. */
export type HostView = {
	readonly lease: LeaseRow;
	readonly digest: HostDigest | undefined;
	/** Monotonic ms at which the digest came in. */
	readonly digestReceivedAtMs: number;
	readonly hash: number;
};

type HostEntry = {
	lease: LeaseRow;
	digest: HostDigest | undefined;
	digestReceivedAtMs: number;
	detector: PhiAccrualDetector;
	hash: number;
};

/** An incarnation that has registered, and the table's version at which it first did. */
type Incarnation = {
	lease: LeaseRow;
	readonly registeredVersion: number;
};

/** How a renewal of this host's lease ended. */
export enum RenewResult {
	Renewed = 'renewed',
	/** Another process has taken this host's id; this one must start no more work. */
	Replaced = 'replaced',
}

export type MembershipOptions = {
	readonly clock: Clock;
	readonly self: Identity;
	readonly leaseIntervalMs: number;
	readonly gossipIntervalMs: number;
	readonly fenceMs: number;
};

/** A peer above this suspicion is not sent to. */
const SUSPICION_THRESHOLD_PHI = 8;
/** A lease this many intervals old no longer counts as held. */
const LEASE_EXPIRY_INTERVALS = 3;

/** Every host that is known, and how sure we are that it is there. */
export class Membership {
	readonly #entries = new Map<string, HostEntry>();
	readonly #incarnations = new Map<string, Incarnation>();
	#leaseRowVersion: number | undefined;
	readonly #everListedAddresses = new Set<string>();
	#listedStates = new Map<string, ListedState>();
	#listReadAtMs: number | undefined;
	#lastPeerMessageMs: number;

	constructor(private readonly options: MembershipOptions) {
		this.#lastPeerMessageMs = options.clock.monotonic();
	}

	/** Monotonic ms of the last message from any peer. */
	get lastPeerMessageMs(): number {
		return this.#lastPeerMessageMs;
	}

	/** Hosts that hold a lease, this one included. */
	get hosts(): HostView[] {
		return [...this.#entries.values()].filter(entry => entry.lease.phase !== HostPhase.Stopped);
	}

	/** Whether any host but this one is known. */
	get hasPeers(): boolean {
		return this.#entries.size > (this.#entries.has(this.options.self.id) ? 1 : 0);
	}

	/** Hosts other than this one that hold a lease. */
	get peers(): HostView[] {
		return this.hosts.filter(({lease}) => lease.id !== this.options.self.id);
	}

	get(id: string): HostView | undefined {
		return this.#entries.get(id);
	}

	/** Takes lease rows. A newer incarnation at the same id replaces the old one. */
	applyRows(rows: readonly Row[]): void {
		for (const row of rows) {
			if (row.value !== undefined) {
				this.#applyLease(row.value as LeaseRow, row.version);
			}
		}
	}

	/** Takes the platform's list of hosts. */
	applyHostList(listed: readonly ListedAddress[]): void {
		this.#listedStates = new Map(listed.map(({address, state}) => [address, state]));
		this.#listReadAtMs = this.options.clock.monotonic();
		for (const {address} of listed) {
			this.#everListedAddresses.add(address);
		}
	}

	/** What the platform's list says of an address; `undefined` when it has never been read. */
	listingOf(address: string): HostListing | undefined {
		if (this.#listReadAtMs === undefined) {
			return undefined;
		}

		const state = this.#listedStates.get(address);
		if (state === undefined) {
			return HostListing.Absent;
		}

		return state === ListedState.Leaving ? HostListing.Leaving : HostListing.Live;
	}

	/** Takes a peer's digest, from itself or passed on; an older one changes nothing. */
	applyDigest(digest: HostDigest): void {
		const entry = this.#entries.get(digest.id);
		const isNewer = entry?.lease.incarnation === digest.incarnation && digest.seq > (entry.digest?.seq ?? -1);
		if (!entry || !isNewer) {
			return;
		}

		const nowMs = this.options.clock.monotonic();
		entry.digest = digest;
		entry.digestReceivedAtMs = nowMs;
		entry.detector.recordMessage(nowMs);
	}

	/** Notes a message from a peer itself. */
	recordPeerMessage(): void {
		this.#lastPeerMessageMs = this.options.clock.monotonic();
	}

	/** Whether a host may be sent callers and requests. */
	isUsable(view: HostView): boolean {
		if (view.lease.id === this.options.self.id) {
			return true;
		}

		const {lease, digest} = view;
		const phase = digest?.phase ?? lease.phase;
		if (phase !== HostPhase.Ready || this.listingOf(`${lease.address}:${lease.port}`) === HostListing.Leaving) {
			return false;
		}

		const detector = this.#entries.get(lease.id)?.detector;
		return this.#isLeaseValid(lease) && detector !== undefined && detector.phi(this.options.clock.monotonic()) < SUSPICION_THRESHOLD_PHI;
	}

	/** Whether an incarnation is known to be gone, so that its units may be used by others. */
	isHolderGone(holder: string): boolean {
		const incarnation = this.#incarnations.get(holder);
		return incarnation !== undefined && isHolderGone(this.#statusOf(incarnation), this.options.clock.now(), this.options.fenceMs);
	}

	/**
	 * Writes this host's lease, conditional on its own last write, so that a
	 * process that wakes after it was replaced does not take the id back.
	 * @throws when the platform gives no answer.
	 */
	async renew(table: Table, phase: HostPhase, demand: LeaseRow['demand']): Promise<RenewResult> {
		const {self, clock} = this.options;
		const lease: LeaseRow = {
			...self, renewedAtMs: clock.now(), phase, demand,
		};
		const key = HOST_PREFIX + lease.id;
		const result = await table.commit([{key, value: lease, expected: this.#leaseRowVersion}]);
		if (result.ok) {
			this.#leaseRowVersion = result.version;
			this.#applyLease(lease, result.version);
			return RenewResult.Renewed;
		}

		const row = await table.read(key);
		if ((row?.value as LeaseRow | undefined)?.incarnation !== self.incarnation) {
			return RenewResult.Replaced;
		}

		// An earlier write took effect though its reply was lost.
		this.#leaseRowVersion = row?.version;
		return RenewResult.Renewed;
	}

	#applyLease(lease: LeaseRow, version: number): void {
		const holder = holderOf(lease);
		const registeredVersion = this.#incarnations.get(holder)?.registeredVersion ?? version;
		this.#incarnations.set(holder, {lease, registeredVersion: registeredVersion});
		const known = this.#entries.get(lease.id);
		if (known?.lease.incarnation === lease.incarnation) {
			known.lease = lease;
			return;
		}

		const nowMs = this.options.clock.monotonic();
		this.#entries.set(lease.id, {
			lease,
			digest: undefined,
			digestReceivedAtMs: nowMs,
			detector: new PhiAccrualDetector(nowMs, this.options.gossipIntervalMs),
			hash: hashText(lease.id),
		});
	}

	#isLeaseValid(lease: LeaseRow): boolean {
		return this.options.clock.now() - lease.renewedAtMs < LEASE_EXPIRY_INTERVALS * this.options.leaseIntervalMs
			|| this.#wasHeardRecently(lease.id);
	}

	/** While the store is down leases cannot be renewed; a peer that speaks is there all the same. */
	#wasHeardRecently(id: string): boolean {
		const entry = this.#entries.get(id);
		return entry?.digest !== undefined
			&& this.options.clock.monotonic() - entry.digestReceivedAtMs < LEASE_EXPIRY_INTERVALS * this.options.leaseIntervalMs;
	}

	#statusOf(incarnation: Incarnation): HolderStatus {
		const {lease} = incarnation;
		const address = `${lease.address}:${lease.port}`;
		return {
			renewedAtMs: lease.renewedAtMs,
			stopped: lease.phase === HostPhase.Stopped,
			superseded: this.#isSuperseded(incarnation),
			listed: this.listingOf(address) ?? HostListing.Live,
			wasListed: this.#everListedAddresses.has(address),
		};
	}

	/** Two processes cannot listen at one address, so a newer incarnation there proves that the older one ended. */
	#isSuperseded({lease, registeredVersion: registeredVersion}: Incarnation): boolean {
		for (const other of this.#incarnations.values()) {
			const isSameAddress = other.lease.address === lease.address && other.lease.port === lease.port;
			if (isSameAddress && other.lease.incarnation !== lease.incarnation && other.registeredVersion > registeredVersion) {
				return true;
			}
		}

		return false;
	}
}
