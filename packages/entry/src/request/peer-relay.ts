import type {Clock, Random} from '@apricotwood/clock';
import type {ReachabilityTracker, Route} from '@apricotwood/steering';
import type {IsolationReports} from '../peer/isolation-reports.js';
import type {Member} from '../peer/members.js';

/** Maximum number of hosts that are tried for one request. */
const MAX_PEERS = 2;

/** Dependencies of `PeerRelay`. */
export type PeerRelayDeps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly reachability: ReachabilityTracker;
	readonly isolation: IsolationReports;
	/** Region of this host. */
	readonly region: string;
};

/** Decides whether requests are passed on to another host, and to which: while this host reaches no worker. A request is passed on once. */
export class PeerRelay {
	constructor(private readonly deps: PeerRelayDeps) {}

	/** Whether requests have to be passed on. */
	get isNeeded(): boolean {
		return this.deps.reachability.isIsolated;
	}

	/** Whether a request that could not be sent to a worker should be passed on rather than sent to further ones. */
	get isDoubtful(): boolean {
		return this.deps.reachability.isDoubtful;
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
