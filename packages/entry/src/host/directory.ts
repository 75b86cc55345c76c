import type {Clock} from '@apricotwood/clock';
import type {ReachabilityTracker, SendingHosts} from '@apricotwood/steering';
import type {IsolationReports} from '../peer/isolation-reports.js';
import type {MemberList} from '../peer/members.js';
import type {HostEntry} from '../source.js';

/** Dependencies of `HostDirectory`. */
export type HostDirectoryDeps = {
	readonly clock: Clock;
	readonly members: MemberList;
	readonly isolation: IsolationReports;
	readonly reachability: ReachabilityTracker;
	/** Whether this host serves callers. */
	readonly isReady: () => boolean;
};

/** Knows which hosts serve callers: those that are ready and reach workers. */
export class HostDirectory {
	constructor(private readonly deps: HostDirectoryDeps) {}

	/**
	 * Selects entry hosts for a caller: those of its zone if there are at least two,
	 * else those of its region, else all. If none reaches workers, all that are
	 * ready; if none is known to be ready, this host in any phase.
	 */
	findHosts(zone: string, region: string): HostEntry[] {
		const candidates = this.#listCandidates();
		const sameZone = candidates.filter(host => host.zone === zone);
		if (sameZone.length > 1) {
			return sameZone;
		}

		const sameRegion = candidates.filter(host => host.region === region);
		return sameRegion.length > 0 ? sameRegion : candidates;
	}

	/** Hosts among which the rate limits of workers are divided: those that callers are sent to. */
	findSendingHosts(nowMs: number): SendingHosts {
		const {members, isolation} = this.deps;
		const ready = isolation.listServing(nowMs).map(({hash, entry: {region}}) => ({hash, region}));
		if (this.#isServing) {
			ready.push({hash: members.hash, region: members.self.region});
		}

		return {ready, recentCount: ready.length + members.countSilent(nowMs)};
	}

	/** Whether this host serves callers and reaches workers. */
	get #isServing(): boolean {
		return this.deps.isReady() && !this.deps.reachability.isIsolated;
	}

	#listCandidates(): HostEntry[] {
		const {clock, members, isolation, isReady} = this.deps;
		const nowMs = clock.monotonic();
		const serving = isolation.listServing(nowMs).map(({entry}) => entry);
		if (this.#isServing) {
			serving.push(members.self);
		}

		if (serving.length > 0) {
			return serving;
		}

		const ready = members.ready(nowMs).map(({entry}) => entry);
		return isReady() || ready.length === 0 ? [...ready, members.self] : ready;
	}
}
