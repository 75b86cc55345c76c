import type {Server} from 'node:http';
import {sleep, type Clock} from '@apricotwood/clock';
import type {Log} from '@apricotwood/telemetry';
import type {ControlFeed} from '../control/feed.js';
import type {LedgerAgent} from '../control/ledger.js';
import type {Forwarder} from '../peer/forward.js';
import type {PeerClient} from '../peer/client.js';
import type {WorkerRegistry} from '../upstream/worker-registry.js';
import {HostEvent, type HostLifecycle} from './phase.js';

/** Time before a failed release is retried, ms. */
const RELEASE_RETRY_INTERVAL_MS = 250;
/** Maximum number of ledger rounds for releasing all shares. */
const MAX_RELEASE_ROUNDS = 50;
/** Time for connections without a request in flight to end when the host closes, ms. */
const CLOSE_TIMEOUT_MS = 1000;

/** Dependencies of {@link ExitSequence}. */
export type ExitSequenceDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly lifecycle: HostLifecycle;
	readonly ledger: LedgerAgent;
	readonly feed: ControlFeed;
	readonly workers: WorkerRegistry;
	readonly forwarder: Forwarder;
	readonly peerClient: PeerClient;
	readonly server: Server;
	/** Records the phase of this host in its lease. */
	readonly renewLease: () => Promise<void>;
};

/** The steps of a host's end after its last request: it gives back its units and closes its connections. */
export class ExitSequence {
	constructor(private readonly deps: ExitSequenceDeps) {}

	/** Closes the connections to workers and other hosts; attempts in flight fail. */
	async disconnectUpstreams(): Promise<void> {
		await Promise.all([this.deps.workers.destroy(), this.deps.forwarder.destroy()]);
	}

	/** Releases all shares and records that this host stopped. If the platform does not reply, the shares remain until other hosts can prove that this host is gone. */
	async releaseShares(signal: AbortSignal): Promise<void> {
		const {clock, log, lifecycle, ledger, feed, renewLease} = this.deps;
		ledger.releaseAll();
		lifecycle.send(HostEvent.Idle);
		for (let round = 0; round < MAX_RELEASE_ROUNDS && ledger.holdsUnits && !signal.aborted; round++) {
			try {
				await ledger.adjust(); // eslint-disable-line no-await-in-loop
				await feed.refresh(); // eslint-disable-line no-await-in-loop
			} catch (error) {
				log.warn({event: 'leave-delayed', reason: (error as Error).message});
				await sleep(clock, RELEASE_RETRY_INTERVAL_MS, signal); // eslint-disable-line no-await-in-loop
			}
		}

		if (!signal.aborted) {
			await renewLease();
		}
	}

	/** Stops listening and waits until the connections have ended, for a limited time: one without any request ends by a timeout only. */
	async closeServer(signal: AbortSignal): Promise<void> {
		const {clock, server} = this.deps;
		const closed = new Promise<void>(resolve => {
			server.close(() => {
				resolve();
			});
		});
		await Promise.race([closed, sleep(clock, CLOSE_TIMEOUT_MS, signal)]);
	}

	/** Closes all remaining connections of callers and to other hosts. */
	async closeConnections(): Promise<void> {
		this.deps.server.closeAllConnections();
		await this.deps.peerClient.close();
	}
}
