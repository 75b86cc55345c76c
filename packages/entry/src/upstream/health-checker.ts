import {sleep, type Clock} from '@apricotwood/clock';
import {
	SendPurpose, type ReachabilityTracker, type Worker, type WorkerAvailability, type WorkerHealthTracker,
} from '@apricotwood/steering';
import type {Log, Metrics} from '@apricotwood/telemetry';
import type {Dialect} from '../dialect.js';
import type {ReplicatedState} from '../state/replicated-state.js';
import {Connection} from './connection.js';
import type {Connector} from './connector.js';
import type {WorkerFeedback} from './worker-feedback.js';

/** Interval at which this host looks for workers with a due health check, ms. */
const POLL_INTERVAL_MS = 150;
/** Timeout of one health check, ms. */
const CHECK_TIMEOUT_MS = 600;

/** Dependencies of `HealthChecker`. */
export type HealthCheckerDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly dialect: Dialect;
	readonly state: ReplicatedState;
	readonly workerHealth: WorkerHealthTracker;
	readonly workerFeedback: WorkerFeedback;
	readonly availability: WorkerAvailability;
	readonly reachability: ReachabilityTracker;
	readonly connector: Connector;
};

/**
 * Runs health checks on workers that could not be reached, timed out or whose
 * address was taken over by another worker; they receive requests again only
 * after a passed check. A worker whose service is not in the configuration is
 * not checked, nor is one that is not available for other reasons. A check counts
 * against the worker's rate limit, if it names one.
 */
export class HealthChecker {
	readonly #inFlight = new Set<string>();

	constructor(private readonly deps: HealthCheckerDeps) {}

	/** Runs until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, state, workerHealth, availability, reachability} = this.deps;
		while (!signal.aborted) {
			const nowMs = clock.monotonic();
			// The checks would fail while this host reaches no worker.
			const workers = reachability.isIsolated ? [] : state.fleet.all();
			for (const worker of workers) {
				if (workerHealth.isHealthCheckDue(worker.hash, nowMs) && !this.#inFlight.has(worker.registration.id) && !availability.findObstacle(worker, SendPurpose.HealthCheck, nowMs)) {
					availability.recordSend(worker, nowMs);
					void this.#checkWorker(worker, signal);
				}
			}

			await sleep(clock, POLL_INTERVAL_MS, signal); // eslint-disable-line no-await-in-loop
		}
	}

	async #checkWorker(worker: Worker, signal: AbortSignal): Promise<void> {
		const {clock, state, workerHealth, log, metrics} = this.deps;
		const {id, service} = worker.registration;
		const healthPath = state.table?.getService(service)?.healthPath;
		if (healthPath === undefined) {
			return;
		}

		this.#inFlight.add(id);
		metrics.count('checks');
		const {hasPassed, coldMs, message} = await this.#probe(worker, healthPath, signal);
		this.#inFlight.delete(id);
		if (signal.aborted) {
			// A check that ends because this host ends is no failure of the worker.
			return;
		}

		workerHealth.recordHealthCheck(worker.hash, hasPassed, clock.monotonic());
		if (hasPassed && coldMs > 0) {
			state.fleet.put({...worker.registration, coldMs}, clock.monotonic());
		}

		log.info({
			event: 'check', worker: id, isGood: hasPassed, coldMs, message,
		});
	}

	async #probe(worker: Worker, path: string, signal: AbortSignal): Promise<{hasPassed: boolean; coldMs: number; message?: string}> {
		const {clock, dialect, workerFeedback, log, metrics} = this.deps;
		const {registration: entry} = worker;
		const sentAtMs = clock.monotonic();
		let connection: Connection | undefined;
		try {
			connection = new Connection(entry.address, this.deps.connector, {
				onConnect() {},
				onConnectFailure() {},
				onException(error) {
					metrics.count('upstream.exceptions');
					log.error({event: 'check-failed', worker: entry.id, message: error.stack});
				},
			});
			const res = await connection.client.request({
				method: 'GET', path, signal: AbortSignal.any([signal, AbortSignal.timeout(CHECK_TIMEOUT_MS)]),
			});
			await res.body.dump();
			const result = dialect.parseHealthCheck(res.statusCode, res.headers);
			workerFeedback.recordHealthCheck(worker, result, sentAtMs);
			const isSameWorker = result.worker === undefined || result.worker === entry.id;
			return {hasPassed: result.isHealthy && isSameWorker, coldMs: result.coldMs, message: isSameWorker ? undefined : `the address now belongs to worker ${result.worker}`};
		} catch (error) {
			return {hasPassed: false, coldMs: 0, message: (error as Error).message};
		} finally {
			connection?.close();
		}
	}
}
