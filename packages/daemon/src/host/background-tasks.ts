import type {AgreementState} from '@apricotwood/agreement';
import {sleep} from '@apricotwood/clock';
import type {Child} from '@apricotwood/supervisor';
import {VERSION_PREFIX} from '../control/agreement.js';
import {SHARE_PREFIX} from '../control/ledger.js';
import {HOST_PREFIX} from '../control/membership.js';
import {Prober} from '../upstream/probe.js';
import type {HostComponents, HostDeps} from './components.js';
import type {OwnLease} from './own-lease.js';
import {toleratePlatformErrors} from './platform-errors.js';

/** Time between two refreshes of the host directory, ms. */
const REFRESH_INTERVAL_MS = 250;
/** Time between two ticks of the fence, ms; it must tick at least once a second. */
const PAUSE_CHECK_INTERVAL_MS = 250;
/** Time between two checks whether a snapshot is due, ms. */
const SNAPSHOT_CHECK_INTERVAL_MS = 5000;

/** Dependencies of {@link BackgroundTasks}. */
export type BackgroundTasksDeps = Pick<HostDeps, 'clock' | 'log' | 'metrics' | 'random' | 'settings'> & {
	readonly components: HostComponents;
	readonly lease: OwnLease;
	/** Puts an agreement in force on this host. */
	readonly applyAgreement: (state: AgreementState) => void;
};

/** What a host does beside requests, each in a supervised task: reads and writes control rows, probes workers, talks to other hosts, watches itself. */
export class BackgroundTasks {
	readonly #components: HostComponents;

	constructor(private readonly deps: BackgroundTasksDeps) {
		this.#components = deps.components;
	}

	/** Creates the tasks, each of which runs until its signal is aborted. */
	createChildren(): Child[] {
		const {control, request, metrics} = this.deps.settings;
		const {clock, random} = this.deps;
		const periodic = (name: string, intervalMs: number, task: () => Promise<void> | void): Child => ({
			name,
			async run(signal) {
				while (!signal.aborted) {
					await task(); // eslint-disable-line no-await-in-loop
					await sleep(clock, intervalMs, signal); // eslint-disable-line no-await-in-loop
				}
			},
		});
		const prober = new Prober({
			clock, random, workers: this.#components.workers, intervalMs: request.probeIntervalMs, path: request.probePath,
		});
		return [
			{name: 'feed', run: async signal => this.#runFeed(signal)},
			{name: 'gossip', run: async signal => this.#components.gossip.run(signal)},
			{name: 'prober', run: async signal => prober.run(signal)},
			{name: 'stalls', run: async signal => this.#components.stalls.run(signal)},
			periodic('ledger', control.ledgerIntervalMs, async () => toleratePlatformErrors(this.deps.log, 'ledger', async () => this.#adjustShares())),
			periodic('lease', control.ledgerIntervalMs, async () => toleratePlatformErrors(this.deps.log, 'lease', async () => this.deps.lease.renewIfDue())),
			periodic('host-list', control.hostListIntervalMs, async () => toleratePlatformErrors(this.deps.log, 'host-list', async () => this.#readHostList())),
			periodic('snapshot', SNAPSHOT_CHECK_INTERVAL_MS, async () => toleratePlatformErrors(this.deps.log, 'snapshot', async () => {
				await this.#components.agreement.writeSnapshotIfDue(this.#components.feed.version);
			})),
			periodic('directory', REFRESH_INTERVAL_MS, () => {
				this.#components.directory.refresh();
				this.#components.admission.admitWaiters();
			}),
			periodic('beat', PAUSE_CHECK_INTERVAL_MS, async () => this.#checkPause()),
			periodic('metrics', metrics.intervalMs, () => {
				this.#reportMetrics();
			}),
		];
	}

	async #runFeed(signal: AbortSignal): Promise<void> {
		await this.#loadInitialState(signal);
		await this.#components.feed.run(signal);
	}

	/** Loads the agreement, leases and shares. Retries until the platform replies; peers may deliver the agreement in the meantime. */
	async #loadInitialState(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			try {
				const after = await this.#components.agreement.loadSnapshot(); // eslint-disable-line no-await-in-loop
				if (this.#components.agreement.state.version > 0) {
					this.deps.applyAgreement(this.#components.agreement.state);
				}

				// eslint-disable-next-line no-await-in-loop
				await this.#components.feed.loadInitialRows([
					{prefix: HOST_PREFIX, after: 0},
					{prefix: SHARE_PREFIX, after: 0},
					{prefix: VERSION_PREFIX, after},
				]);
				return;
			} catch (error) {
				this.deps.log.warn({event: 'platform-silent', reason: (error as Error).message});
				await sleep(this.deps.clock, this.deps.settings.control.scanIntervalMs, signal); // eslint-disable-line no-await-in-loop
			}
		}
	}

	async #adjustShares(): Promise<void> {
		if (this.#components.agreement.state.version === 0 || !this.deps.lease.isWritten) {
			return;
		}

		await this.#components.ledger.adjust();
		this.#components.admission.admitWaiters();
	}

	async #readHostList(): Promise<void> {
		this.#components.membership.applyHostList(await this.#components.guard.hosts.list());
		this.#components.workers.applyHostList(address => this.#components.membership.listingOf(address));
	}

	/** Ticks the fence; after a pause of the process, rereads the ledger entries so that work may start again. */
	async #checkPause(): Promise<void> {
		this.#components.fence.tick();
		if (!this.#components.fence.mustReread) {
			return;
		}

		this.deps.log.warn({event: 'woke', reason: 'the process was paused; no work starts until the shares are reread'});
		await toleratePlatformErrors(this.deps.log, 'reread', async () => {
			await this.#components.feed.refresh();
			this.#components.fence.recordReread();
		});
	}

	#reportMetrics(): void {
		const {metrics} = this.deps;
		for (const service of this.#components.agreement.state.services.keys()) {
			metrics.gauge(`headroom.${this.deps.settings.region}.${service}`, this.#components.workers.countFreeUnits(service));
			metrics.gauge(`queue.${service}`, this.#components.admission.getQueue(service).length);
		}

		metrics.gauge('in-flight', this.#components.inFlight.size);
		metrics.gauge('agreement.version', this.#components.agreement.state.version);
		metrics.gauge('platform.reads', this.#components.guard.counts.reads);
		metrics.gauge('platform.writes', this.#components.guard.counts.writes);
		metrics.gauge('platform.failures', this.#components.guard.counts.failures);
		metrics.report();
	}
}
