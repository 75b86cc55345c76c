import {
	DrainKind, ResourceKind, type AgreementState, type Cap, type Worker,
} from '@apricotwood/agreement';
import type {Clock} from '@apricotwood/clock';
import {
	blendByAge, stepWeight, type EntryHost, type Sample,
} from '@apricotwood/routing';
import type {LedgerAgent} from '../control/ledger.js';
import type {HostView, Membership} from '../control/membership.js';
import {holderOf, type Identity} from '../host/identity.js';
import type {PeerAddress} from '../peer/forward.js';
import type {AlternativeHost} from '../request/response.js';
import type {PeerSelector} from '../request/peers.js';

/** Peers' figures past this age count as absent, ms. */
const MAX_REPORT_AGE_MS = 10_000;
/** Without a fresh figure a host's units count as half free. */
const ASSUMED_FREE_FRACTION = 0.5;
const MAX_ALTERNATIVES = 3;
/** Part of a host's weight that follows its free units. */
const FREE_UNITS_WEIGHT = 0.5;
/** A peer's room is trusted for passing requests on until this age, ms. */
const MAX_CAPACITY_AGE_MS = 5000;
/** Without free units anywhere, a peer is chosen only if its backlog is shorter than ours by this. */
const MIN_BACKLOG_DIFFERENCE = 2;

export type HostDirectoryOptions = {
	readonly clock: Clock;
	readonly self: Identity;
	readonly membership: Membership;
	readonly ledger: LedgerAgent;
	readonly state: () => AgreementState;
	/** Free worker units of a service on this host. */
	readonly ownFreeUnits: (service: string) => number;
	/** Whether this host takes callers from look-ups. */
	readonly isAcceptingCallers: () => boolean;
};

/** Which entry hosts can serve what, by shares and by what peers report; rebuilt at each refresh. */
export class HostDirectory implements PeerSelector {
	readonly #hostsByRegionAndService = new Map<string, readonly EntryHost[]>();
	readonly #weights = new Map<string, number>();
	readonly #capacityReports = new Map<string, {room: number; atMs: number}>();
	readonly #hostsByMember = new Map<string, readonly EntryHost[]>();

	constructor(private readonly options: HostDirectoryOptions) {}

	/** Recomputes all lists; weights move by bounded steps. */
	refresh(): void {
		const {state, membership} = this.options;
		const agreement = state();
		this.#hostsByRegionAndService.clear();
		this.#hostsByMember.clear();
		const usable = membership.hosts.filter(view => this.#isSelectable(view, agreement));
		for (const service of agreement.services.keys()) {
			for (const region of agreement.regions.keys()) {
				this.#hostsByRegionAndService.set(`${region}/${service}`, this.#weighHosts(usable, region, service, agreement));
			}
		}
	}

	/** Entry hosts of a region that hold units of a service. */
	hostsOf(region: string, service: string): readonly EntryHost[] {
		return this.#hostsByRegionAndService.get(`${region}/${service}`) ?? [];
	}

	/** The same, only those that hold units of the member's caps; a small cap is held by few hosts. */
	hostsOfMember(region: string, service: string, member: string, caps: readonly Cap[]): readonly EntryHost[] {
		const key = `${region}/${service}/${member}`;
		let hosts = this.#hostsByMember.get(key);
		if (!hosts) {
			const all = this.hostsOf(region, service);
			const holding = all.filter(host => caps.every(cap => this.#holdsMemberUnits(host.id, member, cap)));
			hosts = holding.length > 0 ? holding : all;
			this.#hostsByMember.set(key, hosts);
		}

		return hosts;
	}

	find(host: string, incarnation: string): PeerAddress | undefined {
		const view = this.options.membership.get(host);
		return view?.lease.incarnation === incarnation ? view.lease : undefined;
	}

	findWithRoom(region: string, service: string, caps: readonly Cap[], member: string, ownCapacity: number): PeerAddress | undefined {
		let best: EntryHost | undefined;
		let bestCapacity = Math.min(0, ownCapacity + MIN_BACKLOG_DIFFERENCE);
		for (const host of this.hostsOf(region, service)) {
			if (host.id === this.options.self.id || !caps.every(cap => this.#holdsMemberUnits(host.id, member, cap))) {
				continue;
			}

			const capacity = this.#capacityOf(host.id, service);
			if (capacity !== undefined && capacity > bestCapacity) {
				best = host;
				bestCapacity = capacity;
			}
		}

		return best;
	}

	/** Takes what a peer says of its room in the answer to a request passed on. */
	recordRoom(host: string, service: string, capacity: number): void {
		this.#capacityReports.set(`${host}/${service}`, {room: capacity, atMs: this.options.clock.monotonic()});
	}

	/** Counts a request passed on against what the peer last reported, until it reports again. */
	recordForward(host: string, service: string): void {
		const capacity = this.#capacityOf(host, service);
		if (capacity !== undefined) {
			this.recordRoom(host, service, capacity - 1);
		}
	}

	/** A peer's room by its newest report, from its digest or from an answer. */
	#capacityOf(host: string, service: string): number | undefined {
		const view = this.options.membership.get(host);
		const report = this.#capacityReports.get(`${host}/${service}`);
		const digestReceivedAtMs = view?.digest ? view.digestReceivedAtMs : Number.NEGATIVE_INFINITY;
		const isReportNewer = report !== undefined && report.atMs >= digestReceivedAtMs;
		const atMs = isReportNewer ? report.atMs : digestReceivedAtMs;
		if (this.options.clock.monotonic() - atMs > MAX_CAPACITY_AGE_MS) {
			return undefined;
		}

		return isReportNewer ? report.room : view?.digest?.free[service];
	}

	listAlternatives(service: string): readonly AlternativeHost[] {
		const hosts = this.hostsOf(this.options.self.region, service).filter(host => host.id !== this.options.self.id);
		return hosts.slice(0, MAX_ALTERNATIVES).map(({address, port}) => ({address, port}));
	}

	#isSelectable(view: HostView, state: AgreementState): boolean {
		const {lease} = view;
		const isSelf = lease.id === this.options.self.id;
		if (state.isDrained(DrainKind.Host, lease.id) || state.isZoneDrained(lease.zone)) {
			return false;
		}

		return isSelf ? this.options.isAcceptingCallers() : this.options.membership.isUsable(view);
	}

	/**
	 * Weighs hosts by the units they hold, and by half at most for those that are
	 * free: callers keep an answer for seconds, so a weight that followed the room
	 * of the moment would send them all to one host and then to the next.
	 */
	#weighHosts(views: readonly HostView[], region: string, service: string, state: AgreementState): EntryHost[] {
		const workers = state.workersIn(region, service).filter(worker => !state.isWorkerDrained(worker));
		const holders: Array<{view: HostView; held: number}> = [];
		let maxHeld = 0;
		for (const view of views) {
			const held = view.lease.region === region ? this.#heldBy(view, workers) : 0;
			if (held > 0) {
				holders.push({view, held});
				maxHeld = Math.max(maxHeld, held);
			}
		}

		return holders.map(({view: {lease, hash, digest, digestReceivedAtMs: digestReceivedAtMs}, held}) => {
			const {id, address, port, zone} = lease;
			const free = Math.min(held, this.#freeUnitsOf(id, service, held, digest?.free[service], digestReceivedAtMs));
			const targetWeight = held / maxHeld * (1 - (FREE_UNITS_WEIGHT * (1 - (free / held))));
			return {
				id, address, port, zone, region, hash, weight: this.#nextWeight(`${id}/${service}`, targetWeight),
			};
		});
	}

	#heldBy({lease}: HostView, workers: readonly Worker[]): number {
		const holder = holderOf(lease);
		let held = 0;
		for (const worker of workers) {
			held += this.options.ledger.unitsHeldBy(`${ResourceKind.Worker}/${worker.name}`, holder);
		}

		return held;
	}

	/** Free units of a host, by its last report; an old report fades into an assumption. */
	#freeUnitsOf(id: string, service: string, held: number, reported: number | undefined, atMs: number): number {
		if (id === this.options.self.id) {
			return this.options.ownFreeUnits(service);
		}

		const report: Sample | undefined = reported === undefined ? undefined : {value: Math.max(0, reported), atMs};
		return blendByAge(report, held * ASSUMED_FREE_FRACTION, this.options.clock.monotonic(), MAX_REPORT_AGE_MS);
	}

	#nextWeight(key: string, targetWeight: number): number {
		const weight = stepWeight(this.#weights.get(key) ?? 0, targetWeight);
		this.#weights.set(key, weight);
		return weight;
	}

	#holdsMemberUnits(host: string, member: string, cap: Cap): boolean {
		const view = this.options.membership.get(host);
		return view !== undefined && this.options.ledger.unitsHeldBy(`${ResourceKind.Member}/${member}/${cap.service}`, holderOf(view.lease)) > 0;
	}
}
