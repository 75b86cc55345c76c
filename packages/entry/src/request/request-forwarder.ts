import type {Clock, Random} from '@apricotwood/clock';
import type {
	ReachabilityTracker, Route, ShutdownDeadline,
} from '@apricotwood/steering';
import type {IsolationReports} from '../peer/isolation-reports.js';
import type {Member} from '../peer/members.js';
import {ExchangeEnd, type ExchangeResult} from '../upstream/response.js';
import {RejectionCode, type Rejection} from './rejection.js';

/** Maximum number of hosts that are tried for one request. */
const MAX_PEERS = 2;
/** Time for which requests for a service are not passed on because of missing workers after the other hosts rejected one, ms. */
const REJECTED_PAUSE_MS = 500;
/** Rejections after which another host may reach a worker: this one found none, and nothing was sent. */
const UNREACHED_CODES = new Set([RejectionCode.NoWorker, RejectionCode.Unreachable]);

/** A request that may be passed on. */
export type ForwardableRequest = {
	readonly route: Route;
	readonly service: string;
	/** Deadline of the response, monotonic ms. */
	readonly deadlineAtMs: number;
};

/** Sends a request to another host. */
export interface PeerSender {
	sendToPeer(peer: Member): Promise<ExchangeResult>;
	/** Whether the request may be sent now; a repeat takes a retry from the budget of this host. */
	takeRetry(): boolean;
}

/** Dependencies of `RequestForwarder`. */
export type RequestForwarderDeps = {
	readonly clock: Clock;
	readonly random: Random;
	readonly reachability: ReachabilityTracker;
	readonly isolation: IsolationReports;
	readonly shutdownDeadline: ShutdownDeadline;
	/** Region of this host. */
	readonly region: string;
};

/**
 * Decides whether requests are passed on to another host, and to which: while this
 * host reaches no worker, or none of the service. A request is passed on once.
 */
export class RequestForwarder {
	/** End of the pause of a service, monotonic ms. */
	readonly #pausedUntilMs = new Map<string, number>();

	constructor(private readonly deps: RequestForwarderDeps) {}

	/** Whether requests have to be passed on. */
	get isNeeded(): boolean {
		return this.deps.reachability.isIsolated;
	}

	/** Whether a request that could not be sent to a worker should be passed on rather than sent to further ones. */
	get isDoubtful(): boolean {
		return this.deps.reachability.isDoubtful;
	}

	/** Whether a request that this host rejects should be passed on instead. */
	canHelp({code}: Rejection, service: string): boolean {
		const isPaused = this.deps.clock.monotonic() < (this.#pausedUntilMs.get(service) ?? Number.NEGATIVE_INFINITY);
		return this.isDoubtful || (UNREACHED_CODES.has(code) && !isPaused);
	}

	/**
	 * Passes a request on, unless this host stops and may end before the response. If
	 * a host rejects it, as it may be full or at its share of a rate limit, the next
	 * one is tried.
	 * @param canRepeat whether the request can be sent again; a body that is streamed cannot.
	 * @returns the result of the last host that received it; `undefined` if none did.
	 */
	async forward(req: ForwardableRequest, sender: PeerSender, canRepeat: boolean): Promise<ExchangeResult | undefined> {
		const {clock, shutdownDeadline} = this.deps;
		let last: ExchangeResult | undefined;
		let isRejected = false;
		for (const peer of this.listPeers(req.route)) {
			if (!shutdownDeadline.allows(req) || clock.monotonic() >= req.deadlineAtMs || !sender.takeRetry()) {
				break;
			}

			const result = await sender.sendToPeer(peer); // eslint-disable-line no-await-in-loop
			if (result.end === ExchangeEnd.Unreachable) {
				continue;
			}

			last = result;
			isRejected = result.end === ExchangeEnd.Answered && !result.mayHaveRun;
			if (!isRejected || !canRepeat) {
				break;
			}
		}

		if (isRejected) {
			this.#pausedUntilMs.set(req.service, clock.monotonic() + REJECTED_PAUSE_MS);
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
