import {connect} from 'node:net';
import type {Clock} from '@apricotwood/clock';
import {WorkerState, type Worker} from '@apricotwood/steering';
import type {Log} from '@apricotwood/telemetry';

/** Time after which a connection attempt is inconclusive: the path to the worker may be cut, ms. */
const CONNECT_TIMEOUT_MS = 400;
/** Maximum number of requests that are recorded for one crash. */
const MAX_REQUESTS_PER_CRASH = 64;

/** Dependencies of `CrashDetector`. */
export type CrashDetectorDeps = {
	readonly clock: Clock;
	readonly log: Log;
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

	constructor(private readonly deps: CrashDetectorDeps) {}

	/** Records that the connection of a request ended without a response. Ends of a worker that is leaving are expected. */
	recordBrokenConnection(worker: Worker, fingerprint: string): void {
		const {id, state} = worker.registration;
		if (state !== WorkerState.Ready) {
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
		const hasCrashed = await isRefused(address, this.deps.clock);
		const fingerprints = [...this.#suspicions.get(id)!];
		this.#suspicions.delete(id);
		if (hasCrashed) {
			this.deps.log.info({event: 'worker-crash', worker: id, fingerprints});
			this.deps.onCrash(worker, fingerprints);
		}
	}
}

/** Whether the address refuses a connection. `false` if it accepts one or does not respond. */
async function isRefused(address: string, clock: Clock): Promise<boolean> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const socket = connect({host: host!, port: Number(port)});
		const finish = (isRefusal: boolean) => {
			timer.cancel();
			socket.destroy();
			resolve(isRefusal);
		};

		const timer = clock.after(CONNECT_TIMEOUT_MS, () => {
			finish(false);
		});
		socket.once('connect', () => {
			finish(false);
		});
		socket.on('error', error => {
			finish('code' in error && error.code === 'ECONNREFUSED');
		});
	});
}
