import {randomBytes} from 'node:crypto';
import type {Server} from 'node:http';
import {DrainKind, type AgreementState} from '@apricotwood/agreement';
import {
	sleep, type Clock, type Random,
} from '@apricotwood/clock';
import {Holdings} from '@apricotwood/ledger';
import {ClaimBook, RequestMemory, TicketSigner} from '@apricotwood/once';
import {PlatformGuard, type Platform} from '@apricotwood/platform';
import {Supervisor, type Child} from '@apricotwood/supervisor';
import type {LineSink, Log, Metrics} from '@apricotwood/telemetry';
import {AgreementBook, VERSION_PREFIX, type VersionRecord} from '../control/agreement.js';
import {DemandTracker} from '../control/demand.js';
import {type HostDigest} from '../control/digest.js';
import {ControlFeed} from '../control/feed.js';
import {Fence} from '../control/fence.js';
import {LedgerAgent, SHARE_PREFIX} from '../control/ledger.js';
import {HOST_PREFIX, Membership, RenewResult} from '../control/membership.js';
import {Directory} from '../lookup/directory.js';
import {Lookup} from '../lookup/lookup.js';
import {PeerAuth} from '../peer/auth.js';
import {PeerClient} from '../peer/client.js';
import {Forwarder} from '../peer/forward.js';
import {Gossip} from '../peer/gossip.js';
import {createPeerRouter} from '../peer/router.js';
import {Admission} from '../request/admission.js';
import {Dispatcher} from '../request/dispatcher.js';
import {Intake} from '../request/intake.js';
import {OnceGate} from '../request/once.js';
import {Pacings} from '../request/pacing.js';
import {StallWatch} from '../request/stall.js';
import {OperatorApi} from '../server/operator.js';
import {createHostServer, listen} from '../server/server.js';
import type {Settings} from '../settings/schema.js';
import {Prober} from '../upstream/probe.js';
import {Workers} from '../upstream/workers.js';
import type {Identity} from './identity.js';
import {HostEvent, HostLifecycle, HostPhase} from './phase.js';
import {createClaimStore} from './claims.js';

export type HostDeps = {
	readonly settings: Settings;
	readonly clusterKey: string;
	readonly platform: Platform;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly sink: LineSink;
};

const REFRESH_MS = 250;
const BEAT_MS = 250;
const STOP_POLL_MS = 20;
/** A snapshot is tried this often; it is written only when one is due. */
const SNAPSHOT_CHECK_MS = 5000;
/** Demand that moves by more than this factor is published before the next lease is due. */
const DEMAND_CHANGE_FACTOR = 1.5;
/** Shares are given back within this many rounds when the host stops, if the platform answers. */
const LEAVE_ROUNDS = 50;

/** One entry host: everything that it runs, from its start to its last request. */
export class Host {
	readonly life: HostLifecycle;
	readonly #identity: Identity;
	readonly #guard: PlatformGuard;
	readonly #feed: ControlFeed;
	readonly #book: AgreementBook;
	readonly #membership: Membership;
	readonly #ledger: LedgerAgent;
	readonly #workers: Workers;
	readonly #admission: Admission;
	readonly #pacings = new Pacings();
	readonly #demand = new DemandTracker();
	readonly #directory: Directory;
	readonly #dispatcher: Dispatcher;
	readonly #gossip: Gossip;
	readonly #fence: Fence;
	readonly #forwarder: Forwarder;
	readonly #peerClient: PeerClient;
	readonly #stalls: StallWatch;
	readonly #holdings: Holdings;
	readonly #server: Server;
	readonly #drainRequested = new AbortController();
	#digestSeq = 0;
	#lastDemand: Record<string, number> = {};
	#lastLeaseMs = Number.NEGATIVE_INFINITY;

	/** Listens, then builds the host around the address it got. */
	static async start(deps: HostDeps): Promise<Host> {
		const host = new Host(deps);
		const {address, port} = deps.settings.listen;
		host.#setPort(await listen(host.#server, address, port));
		return host;
	}

	private constructor(private readonly deps: HostDeps) {
		const {settings, clock, random, log, metrics, clusterKey} = deps;
		const {control, request} = settings;
		this.#identity = {
			id: settings.id, incarnation: randomBytes(6).toString('hex'), address: settings.listen.address, port: 0, zone: settings.zone, region: settings.region,
		};
		this.life = new HostLifecycle(phase => {
			log.info({event: 'host-phase', phase});
		});
		this.#guard = new PlatformGuard(deps.platform, {clock, random, ...settings.platform});
		const {table, objects} = this.#guard;
		this.#holdings = new Holdings(clock);
		this.#feed = new ControlFeed({
			table, clock, random, intervalMs: control.scanIntervalMs, onFailure(error) {
				log.warn({event: 'platform-silent', reason: error.message});
			},
		});
		this.#book = new AgreementBook({
			table, objects, clock, refresh: async () => this.#feed.refresh(), onVersion: (state, record) => {
				this.#onVersion(state, record);
			},
		});
		this.#membership = new Membership({clock, self: this.#identity, ...control});
		this.#ledger = new LedgerAgent({
			table, holdings: this.#holdings, membership: this.#membership, self: this.#identity, onChange: (key, before, after, reason) => {
				log.info({
					event: 'share', key, before, after, reason, version: this.#book.state.version,
				});
			},
		});
		this.#workers = new Workers({
			clock, holdings: this.#holdings, region: settings.region, stallMs: request.stallMs, log, metrics,
		});
		this.#admission = new Admission({
			clock, holdings: this.#holdings, workers: this.#workers, region: settings.region, zone: settings.zone, ...request,
		});
		const auth = new PeerAuth(clusterKey, clock);
		const signer = new TicketSigner(clusterKey);
		this.#forwarder = new Forwarder({
			clock, auth, hostId: settings.id, stallMs: request.stallMs,
		});
		this.#peerClient = new PeerClient(auth, settings.id);
		this.#directory = new Directory({
			clock,
			self: this.#identity,
			membership: this.#membership,
			ledger: this.#ledger,
			state: () => this.#book.state,
			ownFree: service => this.#workers.freeOf(service),
			isOpen: () => this.life.phase === HostPhase.Ready,
		});
		this.#fence = new Fence({
			clock,
			isolationMs: control.isolationMs,
			lastPlatformMs: () => this.#guard.lastAnswerMs,
			lastPeerMs: () => this.#membership.lastPeerMs,
			hasPeers: () => this.#membership.hasPeers,
		});
		this.#gossip = new Gossip({
			clock,
			random,
			log,
			hostId: settings.id,
			zone: settings.zone,
			intervalMs: control.gossipIntervalMs,
			membership: this.#membership,
			book: this.#book,
			client: this.#peerClient,
			digest: () => this.#digest(),
		});
		this.#stalls = new StallWatch(clock, request.stallMs);
		const lookup = new Lookup({
			clock, log, metrics, directory: this.#directory, membership: this.#membership, signer, state: () => this.#book.state, blocks: () => this.#book.blocks, ...settings.lookup,
		});
		this.#dispatcher = this.#createDispatcher(auth, signer);
		this.#server = createHostServer({
			life: this.life,
			lookup,
			dispatcher: this.#dispatcher,
			auth,
			router: createPeerRouter(this.#gossip),
			operator: new OperatorApi({
				operators: settings.operators,
				book: this.#book,
				membership: this.#membership,
				ledger: this.#ledger,
				lookup,
				log,
				push: async record => this.#gossip.push(record),
				own: () => this.#own(),
			}),
		});
		this.#subscribe();
	}

	get port(): number {
		return this.#identity.port;
	}

	get id(): string {
		return this.#identity.id;
	}

	get isReady(): boolean {
		return this.life.phase === HostPhase.Ready;
	}

	/** Units in use by running requests; 0 when none runs. */
	get unitsInUse(): number {
		return this.#holdings.inUse;
	}

	/** Calls made to the platform so far. */
	get platformCalls(): Readonly<{reads: number; writes: number; failures: number}> {
		return this.#guard.counts;
	}

	/** Brings this host's view up to date at once, as its loops do in time. */
	async tick(): Promise<void> {
		await this.#feed.refresh();
		await this.#ledger.adjust();
		this.#directory.refresh();
	}

	/**
	 * Serves until the signal is aborted, then stops gracefully: callers are sent
	 * elsewhere, requests in flight finish, shares are given back.
	 * @throws when a part keeps failing; the host has stopped gracefully by then.
	 */
	async run(signal: AbortSignal): Promise<void> {
		const stopParts = new AbortController();
		const supervisor = this.#createSupervisor();
		let failure: Error | undefined;
		const parts = supervisor.run(this.#children(), stopParts.signal).catch((error: unknown) => {
			failure = error as Error;
			this.#drainRequested.abort();
		});
		await aborted(AbortSignal.any([signal, this.#drainRequested.signal]));
		await this.#drain();
		stopParts.abort();
		await parts;
		await this.#leave();
		await this.#close();
		if (failure) {
			throw failure;
		}
	}

	#setPort(port: number): void {
		Object.assign(this.#identity, {port});
		this.deps.log.info({event: 'listening', address: this.#identity.address, port});
	}

	#createSupervisor(): Supervisor {
		const {clock, random, log, metrics} = this.deps;
		return new Supervisor({
			name: this.id, clock, random, onFailure(child, error, restartInMs) {
				metrics.count('child.failures');
				log.error({
					event: 'child-failed', child, message: error.stack, restartInMs: Math.round(restartInMs),
				});
			},
		});
	}

	#createDispatcher(auth: PeerAuth, signer: TicketSigner): Dispatcher {
		const {settings, clock, log, metrics, sink} = this.deps;
		const {request} = settings;
		const {table} = this.#guard;
		const memory = new RequestMemory({clock, maxRecords: request.maxRequestIds, maxBytes: request.maxAnswerBytes});
		const claimStore = createClaimStore(table);
		return new Dispatcher({
			clock,
			log,
			metrics,
			life: this.life,
			fence: this.#fence,
			intake: new Intake({
				clock, auth, blocks: () => this.#book.blocks, state: () => this.#book.state,
			}),
			gate: new OnceGate({
				clock, memory, signer, claims: new ClaimBook(claimStore), hostId: settings.id, incarnation: this.#identity.incarnation,
			}),
			memory,
			admission: this.#admission,
			pacings: this.#pacings,
			forwarder: this.#forwarder,
			peers: this.#directory,
			demand: this.#demand,
			stalls: this.#stalls,
			hostId: settings.id,
			region: settings.region,
			maxBufferedBytes: request.maxBufferedBytes,
			isLogFull: () => sink.isFull,
			dropClaim(key) {
				claimStore.drop(key).catch((error: unknown) => {
					log.warn({event: 'claim-kept', key, reason: (error as Error).message});
				});
			},
		});
	}

	#subscribe(): void {
		this.#feed.subscribe(VERSION_PREFIX, rows => {
			this.#book.applyRows(rows);
		});
		this.#feed.subscribe(HOST_PREFIX, rows => {
			this.#membership.applyRows(rows);
			this.#forwarder.retain(this.#membership.peers.map(view => view.lease));
		});
		this.#feed.subscribe(SHARE_PREFIX, rows => {
			this.#ledger.applyRows(rows);
		});
	}

	#children(): Child[] {
		const {control, request, metrics} = this.deps.settings;
		const {clock, random} = this.deps;
		const every = (name: string, intervalMs: number, step: () => Promise<void> | void): Child => ({
			name,
			async run(signal) {
				while (!signal.aborted) {
					await step(); // eslint-disable-line no-await-in-loop
					await sleep(clock, intervalMs, signal); // eslint-disable-line no-await-in-loop
				}
			},
		});
		const prober = new Prober({
			clock, random, workers: this.#workers, intervalMs: request.probeIntervalMs, path: request.probePath,
		});
		return [
			{name: 'feed', run: async signal => this.#runFeed(signal)},
			{name: 'gossip', run: async signal => this.#gossip.run(signal)},
			{name: 'prober', run: async signal => prober.run(signal)},
			{name: 'stalls', run: async signal => this.#stalls.run(signal)},
			every('ledger', control.ledgerIntervalMs, async () => this.#quietly('ledger', async () => this.#adjustShares())),
			every('lease', control.ledgerIntervalMs, async () => this.#quietly('lease', async () => this.#renewLease())),
			every('host-list', control.hostListIntervalMs, async () => this.#quietly('host-list', async () => this.#readHostList())),
			every('snapshot', SNAPSHOT_CHECK_MS, async () => this.#quietly('snapshot', async () => {
				await this.#book.snapshotIfDue(this.#feed.version);
			})),
			every('directory', REFRESH_MS, () => {
				this.#directory.refresh();
				this.#admission.pump();
			}),
			every('beat', BEAT_MS, async () => this.#beat()),
			every('metrics', metrics.intervalMs, () => {
				this.#reportMetrics();
			}),
		];
	}

	async #runFeed(signal: AbortSignal): Promise<void> {
		await this.#prime(signal);
		await this.#feed.run(signal);
	}

	/** Reads what a start needs, waiting for the platform as long as it takes; peers may bring an agreement meanwhile. */
	async #prime(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			try {
				const after = await this.#book.loadSnapshot(); // eslint-disable-line no-await-in-loop
				if (this.#book.state.version > 0) {
					this.#applyState(this.#book.state);
				}

				// eslint-disable-next-line no-await-in-loop
				await this.#feed.prime([
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

	/** The platform's silence is no failure of a part: what it would have brought comes later. */
	async #quietly(part: string, step: () => Promise<void>): Promise<void> {
		try {
			await step();
		} catch (error) {
			if ((error as Error).name !== 'PlatformError') {
				throw error;
			}

			this.deps.log.debug({event: 'platform-silent', part, reason: (error as Error).message});
		}
	}

	async #adjustShares(): Promise<void> {
		if (this.#book.state.version === 0 || this.#lastLeaseMs === Number.NEGATIVE_INFINITY) {
			return;
		}

		await this.#ledger.adjust();
		this.#admission.pump();
	}

	async #renewLease(): Promise<void> {
		const {clock, settings} = this.deps;
		const demand = this.#demand.sample();
		const isDue = clock.monotonic() - this.#lastLeaseMs >= settings.control.leaseIntervalMs;
		if (!isDue && !hasMoved(this.#lastDemand, demand)) {
			return;
		}

		await this.#writeLease(demand);
		this.#lastLeaseMs = clock.monotonic();
		this.#lastDemand = demand;
	}

	async #writeLease(demand: Record<string, number>): Promise<void> {
		const result = await this.#membership.renew(this.#guard.table, this.life.phase, demand);
		if (result === RenewResult.Replaced) {
			this.deps.log.error({event: 'replaced', reason: 'another process has registered with this host\'s id; this one starts no more work and stops'});
			this.#fence.shut();
			this.#drainRequested.abort();
		}
	}

	async #readHostList(): Promise<void> {
		this.#membership.applyList(await this.#guard.hosts.list());
		this.#workers.applyList(address => this.#membership.listedAs(address));
	}

	/** Notices a pause of the process and, after one, reads its entries again before work starts. */
	async #beat(): Promise<void> {
		this.#fence.beat();
		if (!this.#fence.mustReread) {
			return;
		}

		this.deps.log.warn({event: 'woke', reason: 'the process was paused; shares are read again before work starts'});
		await this.#quietly('reread', async () => {
			await this.#feed.refresh();
			this.#fence.recordReread();
		});
	}

	#onVersion(state: AgreementState, record: VersionRecord): void {
		this.#applyState(state);
		this.deps.log.info({
			event: 'version-in-force', version: state.version, patch: record.patchId, operator: record.operator,
		});
	}

	#applyState(state: AgreementState): void {
		this.#admission.apply(state);
		this.#pacings.apply(state.agreement.priority);
		this.#ledger.applyAgreement(state);
		this.#workers.apply(state);
		this.life.send(HostEvent.AgreementInForce);
		this.#directory.refresh();
		this.#admission.pump();
		if (state.isDrained(DrainKind.Host, this.id)) {
			this.#drainRequested.abort();
		}
	}

	#digest(): HostDigest {
		const free: Record<string, number> = {};
		for (const service of this.#book.state.services.keys()) {
			free[service] = this.#admission.roomOf(service);
		}

		return {
			id: this.id, incarnation: this.#identity.incarnation, seq: this.#digestSeq++, phase: this.life.phase, version: this.#book.state.version, free, pending: this.#ledger.pending,
		};
	}

	#own(): {id: string; phase: HostPhase; version: number; pending: readonly string[]} {
		return {
			id: this.id, phase: this.life.phase, version: this.#book.state.version, pending: this.#ledger.pending,
		};
	}

	#reportMetrics(): void {
		const {metrics} = this.deps;
		for (const service of this.#book.state.services.keys()) {
			metrics.gauge(`headroom.${this.#identity.region}.${service}`, this.#workers.freeOf(service));
			metrics.gauge(`queue.${service}`, this.#admission.queueOf(service).length);
		}

		metrics.gauge('in-flight', this.#dispatcher.inFlight);
		metrics.gauge('agreement.version', this.#book.state.version);
		metrics.gauge('platform.reads', this.#guard.counts.reads);
		metrics.gauge('platform.writes', this.#guard.counts.writes);
		metrics.gauge('platform.failures', this.#guard.counts.failures);
		metrics.report();
	}

	/** Leaves: look-ups stop naming this host, and callers who hold an answer that does are still served until it expires. */
	async #drain(): Promise<void> {
		const {clock, settings} = this.deps;
		this.life.send(HostEvent.Drain);
		this.#directory.refresh();
		if (this.life.phase === HostPhase.Draining) {
			await this.#quietly('lease', async () => this.#renewNow());
			await sleep(clock, settings.lookup.ttlMs);
			this.life.send(HostEvent.AnswersExpired);
		}

		while (this.#dispatcher.inFlight > 0) {
			await sleep(clock, STOP_POLL_MS); // eslint-disable-line no-await-in-loop
		}
	}

	async #renewNow(): Promise<void> {
		await this.#writeLease({});
	}

	/** Gives all shares back and says so. While the platform is silent they stay until there is evidence that this host is gone. */
	async #leave(): Promise<void> {
		const {clock, log} = this.deps;
		this.#ledger.leave();
		this.life.send(HostEvent.Idle);
		for (let round = 0; round < LEAVE_ROUNDS && this.#ledger.holdsUnits; round++) {
			try {
				await this.#ledger.adjust(); // eslint-disable-line no-await-in-loop
				await this.#feed.refresh(); // eslint-disable-line no-await-in-loop
			} catch (error) {
				log.warn({event: 'leave-delayed', reason: (error as Error).message});
				await sleep(clock, REFRESH_MS); // eslint-disable-line no-await-in-loop
			}
		}

		await this.#quietly('lease', async () => this.#renewNow());
		log.info({event: 'left', holdsUnits: this.#ledger.holdsUnits});
	}

	async #close(): Promise<void> {
		const closed = new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
		this.#server.closeIdleConnections();
		await Promise.all([closed, this.#workers.close(), this.#forwarder.close(), this.#peerClient.close()]);
	}
}

async function aborted(signal: AbortSignal): Promise<void> {
	if (signal.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		signal.addEventListener('abort', () => {
			resolve();
		}, {once: true});
	});
}

/** Whether any group's demand moved far enough to be published before the lease is due. */
function hasMoved(before: Readonly<Record<string, number>>, after: Readonly<Record<string, number>>): boolean {
	for (const group of new Set([...Object.keys(before), ...Object.keys(after)])) {
		const [low = 0, high = 0] = [before[group] ?? 0, after[group] ?? 0].toSorted((a, b) => a - b);
		if (high - low > 1 && high > low * DEMAND_CHANGE_FACTOR) {
			return true;
		}
	}

	return false;
}
