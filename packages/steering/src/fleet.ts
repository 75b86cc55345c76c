import {hashText} from '@apricotwood/routing';

/** What a worker says of itself. */
export enum WorkerState {
	Ready = 'ready',
	/** Takes no new work and ends soon. */
	Draining = 'draining',
}

/** A registered worker. */
export type WorkerEntry = {
	readonly id: string;
	readonly service: string;
	/** `IP:port`. */
	readonly address: string;
	readonly zone: string;
	readonly slots: number;
	readonly state: WorkerState;
	/** How long the worker stays cold, counted from when the entry was written, ms. */
	readonly coldMs: number;
	/** Unix ms of the start; tells two lives under one id apart. 0 where it is not told. */
	readonly bornMs: number;
};

/** A worker with what this host derives from its entry. */
export type Worker = {
	readonly entry: WorkerEntry;
	/** Hash of the id, for rendezvous hashing and short messages. */
	readonly hash: number;
	readonly region: string;
	/** Monotonic ms until which the worker counts as cold. */
	coldUntilMs: number;
	/** Monotonic ms since which it has been cold. */
	coldSinceMs: number;
	/** Monotonic ms until which a lapsed entry is still used; `undefined` while the entry stands. */
	lapsesAtMs: number | undefined;
};

/** Added to what a worker says of its cold time, for the time that the entry took to get here, ms. */
const COLD_MARGIN_MS = 150;

/** All workers and evacuated availability zones that this host knows. Instants are monotonic ms. */
export class Fleet {
	readonly #workers = new Map<string, Worker>();
	readonly #byService = new Map<string, Worker[]>();
	#evacuated = new Set<string>();

	/** @param regions region of each availability zone. */
	constructor(private readonly regions: ReadonlyMap<string, string>) {}

	get size(): number {
		return this.#workers.size;
	}

	get evacuated(): ReadonlySet<string> {
		return this.#evacuated;
	}

	all(): Iterable<Worker> {
		return this.#workers.values();
	}

	get(id: string): Worker | undefined {
		return this.#workers.get(id);
	}

	/** Workers of a service, whether usable or not. */
	ofService(service: string): readonly Worker[] {
		return this.#byService.get(service) ?? [];
	}

	/** Takes one entry. @returns whether the worker is new or lives anew. */
	put(entry: WorkerEntry, nowMs: number): boolean {
		const before = this.#workers.get(entry.id);
		const isNewLife = before?.entry.bornMs !== entry.bornMs || before.entry.address !== entry.address;
		const worker: Worker = {
			entry,
			hash: before?.hash ?? hashText(entry.id),
			region: this.regions.get(entry.zone) ?? entry.zone,
			coldUntilMs: isNewLife ? 0 : before.coldUntilMs,
			coldSinceMs: isNewLife ? nowMs : before.coldSinceMs,
			lapsesAtMs: undefined,
		};
		if (entry.coldMs > 0) {
			extendCold(worker, entry.coldMs + COLD_MARGIN_MS, nowMs);
		}

		this.#workers.set(entry.id, worker);
		this.#reindex();
		return isNewLife;
	}

	remove(id: string): boolean {
		const worker = this.#workers.get(id);
		if (!worker) {
			return false;
		}

		this.#workers.delete(id);
		this.#reindex();
		return true;
	}

	/** Keeps a worker whose entry is missing until `untilMs`, then `sweep` removes it. */
	lapse(id: string, untilMs: number): void {
		const worker = this.#workers.get(id);
		if (worker && worker.lapsesAtMs === undefined) {
			worker.lapsesAtMs = untilMs;
		}
	}

	/** Removes lapsed workers. @returns their ids. */
	sweep(nowMs: number): string[] {
		const gone: string[] = [];
		for (const [id, {lapsesAtMs}] of this.#workers) {
			if (lapsesAtMs !== undefined && lapsesAtMs <= nowMs) {
				gone.push(id);
			}
		}

		for (const id of gone) {
			this.remove(id);
		}

		return gone;
	}

	/**
	 * Replaces the set of evacuated zones. Workers of a zone that is taken back
	 * count as cold for `warmupMsOf` their service: they may have come back cold
	 * without having told yet.
	 */
	setEvacuated(zones: ReadonlySet<string>, nowMs: number, warmupMsOf: (service: string) => number): void {
		const returned = [...this.#evacuated].filter(zone => !zones.has(zone));
		this.#evacuated = new Set(zones);
		if (returned.length === 0) {
			return;
		}

		for (const worker of this.#workers.values()) {
			if (returned.includes(worker.entry.zone)) {
				extendCold(worker, warmupMsOf(worker.entry.service), nowMs);
			}
		}
	}

	/** Whether a worker may be given work at all, cold or not. */
	isOpen(worker: Worker): boolean {
		return worker.entry.state === WorkerState.Ready && !this.#evacuated.has(worker.entry.zone);
	}

	#reindex(): void {
		this.#byService.clear();
		for (const worker of this.#workers.values()) {
			const {service} = worker.entry;
			const list = this.#byService.get(service);
			if (list) {
				list.push(worker);
			} else {
				this.#byService.set(service, [worker]);
			}
		}
	}
}

function extendCold(worker: Worker, spanMs: number, nowMs: number): void {
	if (worker.coldUntilMs <= nowMs) {
		worker.coldSinceMs = nowMs;
	}

	worker.coldUntilMs = Math.max(worker.coldUntilMs, nowMs + spanMs);
}
