import {hashText} from '@apricotwood/routing';
import {
	ObjectCacheModel, RateLimitTracker, ServiceTimeEstimator, WorkerRateLimiter, type SendingHosts,
} from '@apricotwood/steering';

/** What this host has measured and learned of each worker; it does not apply after a restart of the worker. */
export class WorkerStatistics {
	readonly rateLimits = new RateLimitTracker();
	readonly rateLimiter: WorkerRateLimiter;
	readonly serviceTimes = new ServiceTimeEstimator();
	readonly objectCaches = new ObjectCacheModel();

	/** @param hostHash hash of this host's id. @param findSendingHosts returns the hosts that may send to workers now. */
	constructor(hostHash: number, findSendingHosts: (nowMs: number) => SendingHosts) {
		this.rateLimiter = new WorkerRateLimiter(hostHash, this.rateLimits, findSendingHosts);
	}

	/** Discards what is known of a worker. @param id id of the worker. */
	reset(id: string): void {
		const hash = hashText(id);
		this.objectCaches.reset(hash);
		this.rateLimits.reset(hash);
		this.rateLimiter.reset(hash);
		this.serviceTimes.reset(hash);
	}
}
