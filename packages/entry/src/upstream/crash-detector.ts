import type {Clock} from '@apricotwood/clock';
import type {Worker} from '@apricotwood/steering';
import type {Log} from '@apricotwood/telemetry';
import {ProbeResult, probe, type Connector} from './connector.js';
import {UnansweredAttempts} from './unanswered-attempts.js';

/** Maximum number of requests that are recorded for one crash. */
const MAX_REQUESTS_PER_CRASH = 64;

/** Dependencies of `CrashDetector`. */
export type CrashDetectorDeps = {
	readonly clock: Clock;
	readonly connector: Connector;
	readonly log: Log;
	/** Finds the present registration of a worker. */
	readonly findWorker: (id: string) => Worker | undefined;
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
 * the worker refuses the next connection at once, its process has ended. What the
 * host has cancelled is kept for a time, as the worker may still run it.
 */
export class CrashDetector {
	/** Fingerprints of the requests whose connections ended, by the id of the worker that is being checked. */
	readonly #suspicions = new Map<string, Set<string>>();
	/** Crashes that hold if this host reaches other workers. */
	#unsettled: Array<() => void> = [];

	readonly #unanswered: UnansweredAttempts;

	constructor(private readonly deps: CrashDetectorDeps) {
		this.#unanswered = new UnansweredAttempts({
			...deps,
			probe: async ({registration: {address}}) => probe(deps.connector, address),
			onWorkerEnd: worker => {
				this.#report(worker, []);
			},
		});
	}

	/** Whether no cancelled attempt may still be run by its worker, as nearly always; then `recordServed` has no effect. */
	get hasNoUnansweredAttempts(): boolean {
		return this.#unanswered.isEmpty;
	}

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

	/** Records an attempt that this host has cancelled before the worker responded. @param deadlineAtMs deadline that the worker was told, monotonic ms. */
	recordCancelled(worker: Worker, fingerprint: string, deadlineAtMs: number): void {
		if (!this.deps.isLeaving(worker)) {
			this.#unanswered.add(worker, fingerprint, deadlineAtMs);
		}
	}

	/** Records that a worker has responded, so that it runs. */
	recordResponse(worker: Worker): void {
		this.#unanswered.recordResponse(worker);
	}

	/** Records that a worker has run a request and responded: earlier attempts at the request are no suspects any more. */
	recordServed(fingerprint: string): void {
		this.#unanswered.release(fingerprint);
	}

	async #check(worker: Worker): Promise<void> {
		const {id, address} = worker.registration;
		// A cut path may also leave the attempt without a response, which proves nothing.
		const hasCrashed = await probe(this.deps.connector, address) === ProbeResult.Refused;
		const fingerprints = this.#suspicions.get(id)!;
		this.#suspicions.delete(id);
		if (hasCrashed) {
			this.#report(worker, fingerprints);
		}
	}

	/** Reports a crash. @param broken requests whose connections ended with it. */
	#report(worker: Worker, broken: Iterable<string>): void {
		const {id} = worker.registration;
		const fingerprints = [...new Set([...broken, ...this.#unanswered.take(worker)])];
		if (fingerprints.length === 0) {
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
