import type {Clock} from '@apricotwood/clock';
import type {Log, Metrics} from '@apricotwood/telemetry';
import type {HostEntry} from '../source.js';
import type {CatchUpRequest, CatchUpResponse, ReplicatedState} from '../state/replicated-state.js';
import type {Heartbeat} from './heartbeat-codec.js';
import type {HeartbeatSender} from './heartbeat-sender.js';
import type {Member} from './members.js';
import type {RelaySelector} from './relays.js';

/** If the state becomes fresher by more than this in one step, a relay sends the non-relay hosts of its zone a heartbeat at once, ms. */
const MIN_FRESHNESS_GAIN_MS = 250;

/** Duration from which a response to a request for changes is logged, ms. */
const SLOW_RESPONSE_MS = 250;

/** Requests the changes after given revisions from a host. */
export interface CatchUpSource {
	/** Rejects if the host does not respond, or the signal is aborted. */
	since(host: HostEntry, request: CatchUpRequest, signal: AbortSignal): Promise<CatchUpResponse>;
}

/** Dependencies of a `StateFollower`. */
export type StateFollowerDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly state: ReplicatedState;
	readonly catchUp: CatchUpSource;
	readonly relaySelector: RelaySelector;
	readonly sender: HeartbeatSender;
};

/** Keeps this host's state up to date with those of its peers: takes over their freshness, and requests missing changes, one request at a time. */
export class StateFollower {
	#isCatchingUp = false;

	constructor(private readonly deps: StateFollowerDeps) {}

	/** Compares the state with the one that a peer announces: takes over its freshness, or requests missing changes from it. @param signal ends the request. */
	compare(member: Member, {operations, workers}: Pick<Heartbeat, 'operations' | 'workers'>, signal: AbortSignal): void {
		const {state, sender} = this.deps;
		const previousAgeMs = state.ageMs();
		const request = state.compareWithPeer(operations, workers);
		if (request && !this.#isCatchingUp) {
			void this.#requestCatchUp(member, request, signal);
		} else if (previousAgeMs - state.ageMs() > MIN_FRESHNESS_GAIN_MS) {
			sender.notifyNonRelays();
		}
	}

	async #requestCatchUp(member: Member, request: CatchUpRequest, signal: AbortSignal): Promise<void> {
		const {state, catchUp, log, metrics, clock, relaySelector, sender} = this.deps;
		this.#isCatchingUp = true;
		const startAtMs = clock.monotonic();
		metrics.count('catch-up.requests');
		try {
			const response = await catchUp.since(member.entry, request, signal);
			if (signal.aborted) {
				return;
			}

			this.#recordResponse(member, response, clock.monotonic() - startAtMs);
			state.applyCatchUp(response, startAtMs);
			if (relaySelector.isRelay(clock.monotonic())) {
				sender.send();
			}
		} catch (error) {
			// A request that ends because this host ends is no failure of the peer.
			if (!signal.aborted) {
				metrics.count('catch-up.failures');
				log.warn({
					event: 'catch-up-failed', host: member.entry.id, message: (error as Error).message, ms: Math.round(clock.monotonic() - startAtMs), ageMs: Math.round(state.ageMs()),
				});
			}
		} finally {
			this.#isCatchingUp = false;
		}
	}

	/** Logs responses with operations and slow ones; with many workers, others come several times a second. */
	#recordResponse({entry}: Member, {operations, workers}: CatchUpResponse, durationMs: number): void {
		this.deps.metrics.latency('catch-up.time', durationMs);
		if (operations !== undefined || durationMs > SLOW_RESPONSE_MS) {
			this.deps.log.info({
				event: 'catch-up', host: entry.id, ms: Math.round(durationMs), operations: operations?.revision, workers: workers?.revision,
			});
		}
	}
}
