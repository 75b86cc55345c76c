import type {Clock, Random} from '@apricotwood/clock';
import type {ReachabilityTracker, Route} from '@apricotwood/steering';
import type {IsolationReports} from '../peer/isolation-reports.js';
import type {Member} from '../peer/members.js';
import {ExchangeEnd, type ExchangeResult} from '../upstream/exchange.js';

/** Maximum number of hosts that are tried for one request. */
const MAX_PEERS = 2;

/** Sends a request to another host. */
export interface PeerSender {
	sendToPeer(peer: Member): Promise<ExchangeResult>;
}

/** Dependencies of `RequestForwarder`. */
export type RequestForwarderDeps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly reachability: ReachabilityTracker;
	readonly isolation: IsolationReports;
	/** Region of this host. */
	readonly region: string;
};

/** Decides whether requests are passed on to another host, and to which: while this host reaches no worker. A request is passed on once. */
export class RequestForwarder {
	constructor(private readonly deps: RequestForwarderDeps) {}

	/** Whether requests have to be passed on. */
	get isNeeded(): boolean {
		return this.deps.reachability.isIsolated;
	}

	/** Whether a request that could not be sent to a worker should be passed on rather than sent to further ones. */
	get isDoubtful(): boolean {
		return this.deps.reachability.isDoubtful;
	}

	/**
	 * Passes a request on. If a host rejects it, as it may be full or at its share of
	 * a rate limit, the next one is tried.
	 * @param canRepeat whether the request can be sent again; a body that is streamed cannot.
	 * @returns the result of the last host that received it; `undefined` if none did.
	 */
	async forward(route: Route, sender: PeerSender, canRepeat: boolean): Promise<ExchangeResult | undefined> {
		let last: ExchangeResult | undefined;
		for (const peer of this.listPeers(route)) {
			const result = await sender.sendToPeer(peer); // eslint-disable-line no-await-in-loop
			if (result.end === ExchangeEnd.Unreachable) {
				continue;
			}

			last = result;
			const isRejected = result.end === ExchangeEnd.Answered && !result.mayHaveRun;
			if (!isRejected || !canRepeat) {
				break;
			}
		}

		return last;
	}

	/** Chooses hosts that reach workers, first those of this region. A request with home regions stays in these. */
	listPeers({homeRegions}: Route): Member[] {
		const {clock, random, isolation, region: ownRegion} = this.deps;
		const candidates: Array<{readonly peer: Member; readonly order: number}> = [];
		for (const peer of isolation.listServing(clock.monotonic())) {
			const {region} = peer.entry;
			if (homeRegions.length === 0 || homeRegions.includes(region)) {
				candidates.push({peer, order: random.next() + Number(region !== ownRegion)});
			}
		}

		return candidates.toSorted((a, b) => a.order - b.order).slice(0, MAX_PEERS).map(({peer}) => peer);
	}
}
