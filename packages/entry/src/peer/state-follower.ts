import type {Clock} from '@apricotwood/clock';
import type {Log} from '@apricotwood/telemetry';
import type {HostEntry} from '../source.js';
import type {CatchUpRequest, CatchUpResponse, ReplicatedState} from '../state/replicated-state.js';
import type {Heartbeat} from './heartbeat-codec.js';
import type {HeartbeatSender} from './heartbeat-sender.js';
import type {Member} from './members.js';
import type {RelaySelector} from './relays.js';

/** If the state becomes fresher by more than this in one step, a relay sends the non-relay hosts of its zone a heartbeat at once, ms. */
const MIN_FRESHNESS_GAIN_MS = 250;

/** Requests the changes after given revisions from a host. Rejects if the host does not respond. */
export interface CatchUpSource {
	since(host: HostEntry, request: CatchUpRequest): Promise<CatchUpResponse>;
}

/** Dependencies of a `StateFollower`. */
export type StateFollowerDeps = {
	readonly clock: Clock;
	readonly log: Log;
	readonly state: ReplicatedState;
	readonly catchUp: CatchUpSource;
	readonly relaySelector: RelaySelector;
	readonly sender: HeartbeatSender;
};

/** Keeps this host's state up to date with those of its peers: takes over their freshness, and requests missing changes, one request at a time. */
export class StateFollower {
	#isCatchingUp = false;

	constructor(private readonly deps: StateFollowerDeps) {}

	/** Compares the state with the one that a peer announces: takes over its freshness, or requests missing changes from it. */
	compare(member: Member, {operations, workers}: Pick<Heartbeat, 'operations' | 'workers'>): void {
		const {state, sender} = this.deps;
		const previousAgeMs = state.ageMs();
		const request = state.compareWithPeer(operations, workers);
		if (request && !this.#isCatchingUp) {
			void this.#requestCatchUp(member, request);
		} else if (previousAgeMs - state.ageMs() > MIN_FRESHNESS_GAIN_MS) {
			sender.notifyNonRelays();
		}
	}

	async #requestCatchUp(member: Member, request: CatchUpRequest): Promise<void> {
		const {state, catchUp, log, clock, relaySelector, sender} = this.deps;
		this.#isCatchingUp = true;
		const startAtMs = clock.monotonic();
		try {
			state.applyCatchUp(await catchUp.since(member.entry, request), startAtMs);
			if (relaySelector.isRelay(clock.monotonic())) {
				sender.send();
			}
		} catch (error) {
			log.warn({event: 'catch-up-failed', host: member.entry.id, message: (error as Error).message});
		} finally {
			this.#isCatchingUp = false;
		}
	}
}
