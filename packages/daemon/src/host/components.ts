import {Intake} from '@apricotwood/admission';
import {type AgreementState} from '@apricotwood/agreement';
import {type Clock, type Random} from '@apricotwood/clock';
import {Holdings} from '@apricotwood/ledger';
import {ClaimRegistry, IdempotencyStore, TicketSigner} from '@apricotwood/once';
import {ShutdownDeadline} from '@apricotwood/steering';
import {ResilientPlatform, type Platform} from '@apricotwood/store';
import type {LineSink, Log, Metrics} from '@apricotwood/telemetry';
import {AgreementReplica, VERSION_PREFIX, type VersionRecord} from '../control/agreement.js';
import {DemandTracker} from '../control/demand.js';
import {type HostDigest} from '../control/digest.js';
import {ControlFeed} from '../control/feed.js';
import {Fence} from '../control/fence.js';
import {LedgerAgent, SHARE_PREFIX} from '../control/ledger.js';
import {HOST_PREFIX, Membership} from '../control/membership.js';
import {HostDirectory} from '../lookup/directory.js';
import {Lookup} from '../lookup/lookup.js';
import {PeerAuth} from '../peer/auth.js';
import {PeerClient} from '../peer/client.js';
import {Forwarder} from '../peer/forward.js';
import {Gossip} from '../peer/gossip.js';
import {createPeerRouter} from '../peer/router.js';
import {Admission} from '../request/admission.js';
import {Dispatcher} from '../request/dispatcher.js';
import {InFlightRequests} from '../request/in-flight-requests.js';
import {RequestReader} from '../request/request-reader.js';
import {DeduplicationGate} from '../request/deduplication.js';
import {AttemptPolicies} from '../request/attempt-policies.js';
import {Placer} from '../request/placer.js';
import {Replier} from '../request/replier.js';
import {StallDetector} from '../request/stall-detector.js';
import {OperatorApi} from '../server/operator.js';
import {createHostServer, formatMalformedRequestAnswer} from '../server/server.js';
import type {Settings} from '../settings/schema.js';
import {WorkerRegistry} from '../upstream/worker-registry.js';
import type {Identity} from './identity.js';
import {type HostLifecycle, HostPhase} from './phase.js';
import {createClaimStore} from './claim-store.js';

/** Time after its deadline by which a request has ended in any case, ms. */
const RESPONSE_MARGIN_MS = 200;
const BYTES_PER_MB = 1024 * 1024;

/** Settings and external dependencies of a host. */
export type HostDeps = {
	readonly settings: Settings;
	/** Secret shared by all hosts; signs tickets and messages between hosts. */
	readonly clusterKey: string;
	readonly platform: Platform;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly sink: LineSink;
};

/** Callbacks from the components to their host. */
export type HostHooks = {
	/** Called for each agreement version that is applied. */
	readonly onVersion: (state: AgreementState, record: VersionRecord) => void;
	/** Creates the host's digest, with a higher sequence number on each call. */
	readonly digest: () => HostDigest;
	/** Current status of this host, for operators. */
	readonly ownStatus: () => {readonly id: string; readonly phase: HostPhase; readonly version: number; readonly pending: readonly string[]};
};

/** The components of a host. */
export type HostComponents = ReturnType<typeof assembleHost>;

/** Creates and connects the components of a host without starting them. */
export function assembleHost(deps: HostDeps, identity: Identity, lifecycle: HostLifecycle, hooks: HostHooks) {
	const {settings, clock, random, log, metrics, sink, clusterKey} = deps;
	const {control, request} = settings;
	const guard = new ResilientPlatform(deps.platform, {clock, random, ...settings.platform});
	const {table, objects} = guard;
	const pacings = new AttemptPolicies();
	const demand = new DemandTracker();
	const holdings = new Holdings(clock);
	const feed = new ControlFeed({
		table, clock, random, intervalMs: control.scanIntervalMs, onFailure(error) {
			log.warn({event: 'platform-silent', reason: error.message});
		},
	});
	const agreement = new AgreementReplica({
		table, objects, clock, refresh: async () => feed.refresh(), onVersion(state, record) {
			hooks.onVersion(state, record);
		},
	});
	const membership = new Membership({clock, self: identity, ...control});
	const ledger = new LedgerAgent({
		table, holdings, membership, self: identity, onChange(key, before, after, reason) {
			log.info({
				event: 'share', key, before, after, reason, version: agreement.state.version,
			});
		},
	});
	const workers = new WorkerRegistry({
		clock, holdings, region: settings.region, stallMs: request.stallMs, log, metrics,
	});
	const shutdownDeadline = new ShutdownDeadline({marginMs: RESPONSE_MARGIN_MS});
	const inFlight = new InFlightRequests();
	const admission = new Admission({
		clock, holdings, workers, region: settings.region, zone: settings.zone, shutdownDeadline, ...request,
	});
	const auth = new PeerAuth(clusterKey, clock);
	const signer = new TicketSigner(clusterKey);
	const forwarder = new Forwarder({
		clock,
		auth,
		hostId: settings.id,
		stallMs: request.stallMs,
		onException(error) {
			metrics.count('upstream.exceptions');
			log.error({event: 'connection-failed', message: error.stack});
		},
	});
	const peerClient = new PeerClient(auth, settings.id);
	const directory = new HostDirectory({
		clock,
		self: identity,
		membership,
		ledger,
		state: () => agreement.state,
		ownFreeUnits: service => workers.countFreeUnits(service),
		isAcceptingCallers: () => lifecycle.phase === HostPhase.Ready,
	});
	const fence = new Fence({
		clock,
		isolationMs: control.isolationMs,
		lastPlatformReplyMs: () => guard.lastResponseMs,
		lastPeerMessageMs: () => membership.lastPeerMessageMs,
		hasPeers: () => membership.hasPeers,
	});
	const gossip = new Gossip({
		clock,
		random,
		log,
		hostId: settings.id,
		zone: settings.zone,
		intervalMs: control.gossipIntervalMs,
		membership,
		book: agreement,
		client: peerClient,
		createDigest: () => hooks.digest(),
	});
	const intake = new Intake({
		clock,
		log,
		metrics,
		resources: {memoryBytes: settings.machine.memoryMb * BYTES_PER_MB, descriptors: settings.machine.descriptors},
		intakeShares: settings.intake,
		formatClientError: formatMalformedRequestAnswer,
	});
	const stalls = new StallDetector(clock, request.stallMs, intake.guard);
	const lookup = new Lookup({
		clock, log, metrics, directory, membership, signer, state: () => agreement.state, blocks: () => agreement.blocks, ...settings.lookup,
	});
	const memory = new IdempotencyStore({clock, maxRecords: request.maxRequestIds, maxBytes: request.maxAnswerBytes});
	const claimStore = createClaimStore(table);
	const gate = new DeduplicationGate({
		clock, memory, signer, claims: new ClaimRegistry(claimStore), hostId: settings.id, incarnation: identity.incarnation,
	});
	const replier = new Replier({
		log, metrics, peers: directory, shutdownDeadline,
	});
	const requestDeps = {
		clock, log, metrics, gate, replier, admission, pacings, peers: directory, stalls, shutdownDeadline, maxBufferedBytes: request.maxBufferedBytes,
	};
	const placer = new Placer({
		...requestDeps,
		fence,
		memory,
		forwarder,
		hostId: settings.id,
		region: settings.region,
		deleteClaim(key) {
			claimStore.delete(key).catch((error: unknown) => {
				log.warn({event: 'claim-kept', key, reason: (error as Error).message});
			});
		},
	});
	const requestReader = new RequestReader({
		clock, auth, blocks: () => agreement.blocks, state: () => agreement.state,
	});
	const dispatcher = new Dispatcher({
		...requestDeps, lifecycle, requestReader, placer, intake, demand, inFlight, isLogFull: () => sink.isFull,
	});
	const server = createHostServer({
		intake,
		lifecycle,
		lookup,
		dispatcher,
		auth,
		router: createPeerRouter(gossip),
		operator: new OperatorApi({
			operators: settings.operators,
			book: agreement,
			membership,
			ledger,
			lookup,
			log,
			intake,
			pushVersion: async record => gossip.pushVersion(record),
			getOwnStatus: () => hooks.ownStatus(),
		}),
	});

	feed.subscribe(VERSION_PREFIX, rows => {
		agreement.applyRows(rows);
	});
	feed.subscribe(HOST_PREFIX, rows => {
		membership.applyRows(rows);
		forwarder.retainPools(membership.peers.map(view => view.lease));
	});
	feed.subscribe(SHARE_PREFIX, rows => {
		ledger.applyRows(rows);
	});

	return {
		guard, feed, agreement, membership, ledger, workers, admission, pacings, demand, directory, inFlight, shutdownDeadline, gossip, fence, forwarder, peerClient, stalls, holdings, server,
	};
}
