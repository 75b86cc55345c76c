import {
	ResourceKind, type AgreementState, type Worker,
} from '@apricotwood/agreement';
import {WorkerPhase} from '@apricotwood/admission';
import type {Clock} from '@apricotwood/clock';
import {HostListing, type Holdings} from '@apricotwood/ledger';
import type {Log, Metrics} from '@apricotwood/telemetry';
import {LeaveReason, WorkerLink} from './worker-link.js';

/** Dependencies of {@link WorkerRegistry}, region of this host and body stall timeout. */
export type WorkerRegistryOptions = {
	readonly clock: Clock;
	readonly holdings: Holdings;
	readonly region: string;
	readonly stallMs: number;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** Workers in the region of this host, by name and service. */
export class WorkerRegistry {
	readonly #byName = new Map<string, WorkerLink>();
	readonly #byService = new Map<string, WorkerLink[]>();
	/** Removed workers with running requests; their connections are closed when the last request ends. */
	readonly #removed = new Set<WorkerLink>();
	readonly #drainStartedMs = new Map<string, number>();

	constructor(private readonly options: WorkerRegistryOptions) {}

	/** Updates the workers and their drains to an agreement version. */
	apply(state: AgreementState): void {
		const regionWorkers = state.agreement.workers.filter(worker => state.regionOfWorker(worker) === this.options.region);
		const names = new Set(regionWorkers.map(worker => worker.name));
		for (const link of this.#byName.values()) {
			if (!names.has(link.worker.name)) {
				this.#remove(link);
			}
		}

		for (const worker of regionWorkers) {
			this.#applyWorker(worker, state);
		}

		this.#indexServices();
	}

	/** Updates leave reasons from the platform's host list. An address missing from the list is ignored, because the list is delayed. */
	applyHostList(getListing: (address: string) => HostListing | undefined): void {
		for (const link of this.#byName.values()) {
			const {address, port} = link.worker;
			link.setLeaveReason(LeaveReason.HostList, getListing(`${address}:${port}`) === HostListing.Leaving);
		}
	}

	/** Returns the workers of a service, including those that are leaving. */
	getByService(service: string): readonly WorkerLink[] {
		return this.#byService.get(service) ?? [];
	}

	get(name: string): WorkerLink | undefined {
		return this.#byName.get(name);
	}

	all(): Iterable<WorkerLink> {
		return this.#byName.values();
	}

	/** Returns the number of free units of a service's workers on this host. */
	countFreeUnits(service: string): number {
		let free = 0;
		for (const link of this.getByService(service)) {
			free += link.free;
		}

		return free;
	}

	/** Closes all connections; requests in flight fail. */
	async destroy(): Promise<void> {
		const links = [...this.#byName.values(), ...this.#removed];
		await Promise.all(links.map(async link => link.pool.destroy()));
	}

	#applyWorker(worker: Worker, state: AgreementState): void {
		const existing = this.#byName.get(worker.name);
		if (existing && isSameWorker(existing.worker, worker)) {
			existing.setLeaveReason(LeaveReason.Operator, state.isWorkerDrained(worker));
			return;
		}

		if (existing) {
			this.#remove(existing);
		}

		const {clock, holdings, stallMs, log, metrics} = this.options;
		const zone = state.zoneOfSite(worker.site) ?? '';
		const holding = holdings.get(`${ResourceKind.Worker}/${worker.name}`);
		const link = new WorkerLink(worker, zone, holding, {
			clock,
			stallMs,
			onPhaseChange: (changed, phase) => {
				this.#handlePhaseChange(changed, phase);
			},
			onException(error) {
				metrics.count('upstream.exceptions');
				log.error({event: 'connection-failed', worker: worker.name, message: error.stack});
			},
		});
		this.#byName.set(worker.name, link);
		link.setLeaveReason(LeaveReason.Operator, state.isWorkerDrained(worker));
	}

	#remove(link: WorkerLink): void {
		this.#byName.delete(link.worker.name);
		this.#removed.add(link);
		link.setLeaveReason(LeaveReason.Removed, true);
		if (link.lifecycle.phase === WorkerPhase.Gone) {
			this.#closeRemoved(link);
		}
	}

	#handlePhaseChange(link: WorkerLink, phase: WorkerPhase): void {
		const {clock, log, metrics} = this.options;
		log.info({
			event: 'worker-phase', worker: link.worker.name, phase, signs: [...link.signs], inFlight: link.inFlight,
		});
		if (phase === WorkerPhase.Leaving) {
			this.#drainStartedMs.set(link.worker.name, clock.monotonic());
		}

		if (phase !== WorkerPhase.Gone) {
			return;
		}

		metrics.latency('drain', clock.monotonic() - (this.#drainStartedMs.get(link.worker.name) ?? clock.monotonic()));
		if (this.#removed.has(link)) {
			this.#closeRemoved(link);
		}
	}

	#closeRemoved(link: WorkerLink): void {
		this.#removed.delete(link);
		// The host list may still change while a host that stops releases its units.
		if (!link.pool.destroyed) {
			void link.pool.close();
		}
	}

	#indexServices(): void {
		this.#byService.clear();
		for (const link of this.#byName.values()) {
			const list = this.#byService.get(link.worker.service);
			if (list) {
				list.push(link);
			} else {
				this.#byService.set(link.worker.service, [link]);
			}
		}
	}
}

/** Whether two agreement versions of a worker have the same address, service, site and slots. */
function isSameWorker(a: Worker, b: Worker): boolean {
	return a.address === b.address && a.port === b.port && a.service === b.service && a.site === b.site && a.slots === b.slots;
}

