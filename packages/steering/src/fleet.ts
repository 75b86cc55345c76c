import {hashText} from '@apricotwood/routing';

/** Lifecycle state in the registration of a worker. */
export enum WorkerState {
	Ready = 'ready',
	/** Accepts no new requests and is about to stop. */
	Draining = 'draining',
}

/** Registration record of a worker, as read from the platform. */
export type WorkerRegistration = {
	readonly id: string;
	readonly service: string;
	/** `IP:port`. */
	readonly address: string;
	readonly zone: string;
	readonly slots: number;
	readonly state: WorkerState;
	/** Remaining warm-up time when the registration was written, ms. */
	readonly coldMs: number;
	/** Start time of the worker, Unix ms; distinguishes a restarted worker with the same id. 0 if not reported. */
	readonly bornMs: number;
	/** Number of the report that wrote the registration, counted from the start of the worker; 0 if not reported. */
	readonly sequence: number;
};

/** A worker, with the state that this host derives from its registration. */
export type Worker = {
	readonly registration: WorkerRegistration;
	/** Hash of the id, for rendezvous hashing and as a compact id in messages. */
	readonly hash: number;
	readonly region: string;
	/** End of the warm-up, monotonic ms; the worker is warming up before this time. */
	warmupEndMs: number;
	/**
	 * Reference time of the phase offsets of `WarmupLimiter`, monotonic ms: the time
	 * at which this host learned of the worker, of its restart or of the start of its
	 * present warm-up. Also set for a worker that is not warming up.
	 */
	warmupReferenceMs: number;
	/** Time at which the worker is removed after its registration has disappeared from the store, monotonic ms; `undefined` while the registration exists. */
	removeAtMs: number | undefined;
};

/** Safety margin added to the reported remaining warm-up time, ms. That time is counted from receipt, so the delay of the report is not subtracted from it. */
const WARMUP_REPORT_MARGIN_MS = 150;

/** Keeps the workers and evacuated availability zones known to this host. Times are monotonic ms. */
export class Fleet {
	readonly #workers = new Map<string, Worker>();
	readonly #byService = new Map<string, Worker[]>();
	#evacuated = new Set<string>();

	/** @param regions region by availability zone. */
	constructor(private readonly regions: ReadonlyMap<string, string>) {}

	get size(): number {
		return this.#workers.size;
	}

	get evacuatedZones(): ReadonlySet<string> {
		return this.#evacuated;
	}

	all(): Iterable<Worker> {
		return this.#workers.values();
	}

	get(id: string): Worker | undefined {
		return this.#workers.get(id);
	}

	/** Finds a worker by the hash of its id. */
	findByHash(hash: number): Worker | undefined {
		for (const worker of this.#workers.values()) {
			if (worker.hash === hash) {
				return worker;
			}
		}

		return undefined;
	}

	/** All workers of a service, including those that are not in service. */
	listByService(service: string): readonly Worker[] {
		return this.#byService.get(service) ?? [];
	}

	/** Adds or replaces a registration. @returns whether the worker is new, has restarted or has another address. */
	put(registration: WorkerRegistration, nowMs: number): boolean {
		const previous = this.#workers.get(registration.id);
		const isNewInstance = previous?.registration.bornMs !== registration.bornMs || previous.registration.address !== registration.address;
		const worker: Worker = {
			registration,
			hash: previous?.hash ?? hashText(registration.id),
			region: this.regions.get(registration.zone) ?? registration.zone,
			warmupEndMs: isNewInstance ? 0 : previous.warmupEndMs,
			warmupReferenceMs: isNewInstance ? nowMs : previous.warmupReferenceMs,
			removeAtMs: undefined,
		};
		if (registration.coldMs > 0) {
			extendWarmup(worker, registration.coldMs + WARMUP_REPORT_MARGIN_MS, nowMs);
		}

		this.#workers.set(registration.id, worker);
		this.#reindex();
		return isNewInstance;
	}

	/** @returns whether the worker was known. */
	remove(id: string): boolean {
		const worker = this.#workers.get(id);
		if (!worker) {
			return false;
		}

		this.#workers.delete(id);
		this.#reindex();
		return true;
	}

	/** Schedules the removal of a worker whose registration is missing: from `atMs` on, `removeDue` removes it. An earlier schedule is kept. */
	scheduleRemoval(id: string, atMs: number): void {
		const worker = this.#workers.get(id);
		if (worker && worker.removeAtMs === undefined) {
			worker.removeAtMs = atMs;
		}
	}

	/** Removes workers whose scheduled removal is due. @returns their ids. */
	removeDue(nowMs: number): string[] {
		const dueIds: string[] = [];
		for (const [id, {removeAtMs}] of this.#workers) {
			if (removeAtMs !== undefined && removeAtMs <= nowMs) {
				dueIds.push(id);
			}
		}

		for (const id of dueIds) {
			this.remove(id);
		}

		return dueIds;
	}

	/**
	 * Replaces the set of evacuated zones. Workers of a zone that is no longer
	 * evacuated are treated as warming up for the warm-up time of their service,
	 * because they may have restarted without having reported it yet.
	 * @param warmupMsOf warm-up time of a service, ms.
	 */
	setEvacuated(zones: ReadonlySet<string>, nowMs: number, warmupMsOf: (service: string) => number): void {
		const restoredZones = [...this.#evacuated].filter(zone => !zones.has(zone));
		this.#evacuated = new Set(zones);
		if (restoredZones.length === 0) {
			return;
		}

		for (const worker of this.#workers.values()) {
			if (restoredZones.includes(worker.registration.zone)) {
				extendWarmup(worker, warmupMsOf(worker.registration.service), nowMs);
			}
		}
	}

	/** Whether the state of the worker is `Ready` and its zone is not evacuated. It may still be warming up, or be unhealthy according to `WorkerHealthTracker`. */
	isInService(worker: Worker): boolean {
		return worker.registration.state === WorkerState.Ready && !this.#evacuated.has(worker.registration.zone);
	}

	#reindex(): void {
		this.#byService.clear();
		for (const worker of this.#workers.values()) {
			const {service} = worker.registration;
			const list = this.#byService.get(service);
			if (list) {
				list.push(worker);
			} else {
				this.#byService.set(service, [worker]);
			}
		}
	}
}

/** Extends the warm-up of a worker to `durationMs` from now; a warm-up in progress keeps its reference time. */
function extendWarmup(worker: Worker, durationMs: number, nowMs: number): void {
	if (worker.warmupEndMs <= nowMs) {
		worker.warmupReferenceMs = nowMs;
	}

	worker.warmupEndMs = Math.max(worker.warmupEndMs, nowMs + durationMs);
}
