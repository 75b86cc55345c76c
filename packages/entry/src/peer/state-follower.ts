import type {Clock} from '@apricotwood/clock';
import type {Log, Metrics} from '@apricotwood/telemetry';
import type {HostEntry} from '../source.js';
import type {CatchUpRequest, CatchUpResponse, ReplicatedState} from '../state/replicated-state.js';
import {CatchUpSchedule} from './catch-up-schedule.js';
import type {Heartbeat} from './heartbeat-codec.js';
import type {HeartbeatSender} from './heartbeat-sender.js';
import type {Member} from './members.js';
import type {RelaySelector} from './relays.js';

/** If the state becomes fresher by more than this in one step, a relay sends the non-relay hosts of its zone a heartbeat at once, ms. */
const MIN_FRESHNESS_GAIN_MS = 250;
/** Time for which a change is missing after which hosts of other zones are asked as well, whose heartbeats a relay has forwarded, ms. */
const DISTANT_PEER_DELAY_MS = 400;
/** Duration from which a response to a request for changes is logged, ms. */
const SLOW_RESPONSE_MS = 250;
/** Requests no changes of a data set. */
const NOTHING = Number.MAX_SAFE_INTEGER;

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

/** Keeps this host's state up to date with those of its peers: takes over their freshness, and requests missing changes, of the operations and of the workers independently. */
export class StateFollower {
	readonly #operations = new CatchUpSchedule();
	readonly #workers = new CatchUpSchedule();

	constructor(private readonly deps: StateFollowerDeps) {}

	/**
	 * Compares the state with the one that a peer announces: takes over its freshness, or requests missing changes from it.
	 * @param isDirect whether the heartbeat came from the peer itself.
	 * @param signal ends the requests.
	 */
	compare(member: Member, {operations, workers}: Pick<Heartbeat, 'operations' | 'workers'>, isDirect: boolean, signal: AbortSignal): void {
		const {state, sender, clock} = this.deps;
		const nowMs = clock.monotonic();
		const previousAgeMs = state.ageMs();
		const request = state.compareWithPeer(operations, workers, isDirect);
		if (request && request.operations !== NOTHING && (isDirect || isOverdue(state.operations, nowMs))) {
			this.#ask(this.#operations, member, {...request, workers: NOTHING}, signal);
		}

		if (request && request.workers !== NOTHING && (isDirect || isOverdue(state.workers, nowMs))) {
			this.#ask(this.#workers, member, {...request, operations: NOTHING}, signal);
		}

		if (previousAgeMs - state.ageMs() > MIN_FRESHNESS_GAIN_MS) {
			sender.notifyNonRelays();
		}
	}

	#ask(schedule: CatchUpSchedule, member: Member, request: CatchUpRequest, signal: AbortSignal): void {
		if (schedule.canAsk(member.hash, this.deps.clock.monotonic())) {
			void this.#request(schedule, member, request, signal);
		}
	}

	async #request(schedule: CatchUpSchedule, member: Member, request: CatchUpRequest, signal: AbortSignal): Promise<void> {
		const {state, catchUp, clock, relaySelector, sender} = this.deps;
		const startAtMs = clock.monotonic();
		schedule.recordStart(member.hash, startAtMs);
		try {
			const response = await catchUp.since(member.entry, request, signal);
			schedule.recordEnd(member.hash, false, clock.monotonic());
			if (signal.aborted) {
				return;
			}

			this.#recordResponse(member, response, clock.monotonic() - startAtMs);
			state.applyCatchUp(response, startAtMs);
			if (relaySelector.isRelay(clock.monotonic())) {
				sender.send();
			}
		} catch (error) {
			schedule.recordEnd(member.hash, true, clock.monotonic());
			// A request that ends because this host ends is no failure of the peer.
			if (!signal.aborted) {
				this.#recordFailure(member, error as Error, clock.monotonic() - startAtMs);
			}
		}
	}

	/** Logs responses with operations and slow ones; with many workers, others come several times a second. */
	#recordResponse({entry}: Member, {operations, workers}: CatchUpResponse, durationMs: number): void {
		const {log, metrics} = this.deps;
		metrics.latency('catch-up.time', durationMs);
		if (operations !== undefined || durationMs > SLOW_RESPONSE_MS) {
			log.info({
				event: 'catch-up', host: entry.id, ms: Math.round(durationMs), operations: operations?.revision, workers: workers?.revision,
			});
		}
	}

	#recordFailure({entry}: Member, error: Error, durationMs: number): void {
		const {log, metrics, state} = this.deps;
		metrics.count('catch-up.failures');
		log.warn({
			event: 'catch-up-failed', host: entry.id, message: error.message, ms: Math.round(durationMs), ageMs: Math.round(state.ageMs()),
		});
	}
}

/** Whether a change has been missing for so long that further peers are asked for it. */
function isOverdue({missingSinceMs}: {readonly missingSinceMs: number | undefined}, nowMs: number): boolean {
	return missingSinceMs !== undefined && nowMs - missingSinceMs >= DISTANT_PEER_DELAY_MS;
}
