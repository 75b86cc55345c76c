import type {Worker} from '@apricotwood/steering';
import type {Log} from '@apricotwood/telemetry';
import {ProbeResult, probe, type Connector} from './connector.js';

/** Maximum number of requests that are recorded for one crash. */
const MAX_REQUESTS_PER_CRASH = 64;

/** Dependencies of `CrashDetector`. */
export type CrashDetectorDeps = {
	readonly connector: Connector;
	readonly log: Log;
	/** Whether the worker is expected to end. */
	readonly isLeaving: (worker: Worker) => boolean;
	/** Whether it is unclear if this host reaches workers at all: a refusal may then come from its path. */
	readonly isPathInDoubt: () => boolean;
	/** Called when a worker has crashed. @param fingerprints requests that ran there, the cause among them or not. */
	readonly onCrash: (worker: Worker, fingerprints: readonly string[]) => void;
};

/**
 * Tells a crash of a worker from other ends of a connection. A connection that
 * ends without a response may have been reset by the worker or on its path; if
 * the worker refuses the next connection at once, its process has ended.
 */
export class CrashDetector {
	/** Fingerprints of the requests whose connections ended, by the id of the worker that is being checked. */
	readonly #suspicions = new Map<string, Set<string>>();
	/** Crashes that hold if this host reaches other workers. */
	#unsettled: Array<() => void> = [];

	constructor(private readonly deps: CrashDetectorDeps) {}

	/** Records that the connection of a request ended without a response. Ends of a worker that is leaving are expected. */
	recordBrokenConnection(worker: Worker, fingerprint: string): void {
		const {id} = worker.registration;
		if (this.deps.isLeaving(worker)) {
			return;
		}

		const suspicion = this.#suspicions.get(id);
		if (!suspicion) {
			this.#suspicions.set(id, new Set([fingerprint]));
			void this.#check(worker);
		} else if (suspicion.size < MAX_REQUESTS_PER_CRASH) {
			suspicion.add(fingerprint);
		}
	}

	async #check(worker: Worker): Promise<void> {
		const {id, address} = worker.registration;
		// A cut path may also leave the attempt without a response, which proves nothing.
		const hasCrashed = await probe(this.deps.connector, address) === ProbeResult.Refused;
		const fingerprints = [...this.#suspicions.get(id)!];
		this.#suspicions.delete(id);
		if (!hasCrashed) {
			return;
		}

		const report = () => {
			this.deps.log.info({event: 'worker-crash', worker: id, fingerprints});
			this.deps.onCrash(worker, fingerprints);
		};

		if (this.deps.isPathInDoubt()) {
			this.#unsettled.push(report);
		} else {
			report();
		}
	}

	/** Settles the crashes that were noticed while the path was in doubt. @param isIsolated whether this host reaches no worker, so that they were none. */
	settle(isIsolated: boolean): void {
		const unsettled = this.#unsettled;
		this.#unsettled = [];
		if (isIsolated) {
			return;
		}

		for (const report of unsettled) {
			report();
		}
	}
}
