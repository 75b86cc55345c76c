import {computeRendezvousScore} from '@apricotwood/routing';
import {RequestKind} from './config.js';
import type {Fleet, Worker} from './fleet.js';

/** Options of a `WorkerRanking`. */
export type WorkerRankingOptions = {
	/** Region of this host. */
	readonly region: string;
	/** Number of top-ranked workers that are considered for an object. @default 4 */
	readonly copies?: number;
	/** Weight of a worker in the local region, relative to 1 for other regions. @default 4 */
	readonly nearness?: number;
	/** Weight of a worker in the local region for uploads, relative to 1 for other regions; higher because of the amount of data. @default 24 */
	readonly uploadNearness?: number;
};

const DEFAULT_MAX_COPIES = 4;
const DEFAULT_LOCAL_REGION_WEIGHT = 4;
const DEFAULT_LOCAL_REGION_UPLOAD_WEIGHT = 24;

/** Ranks the workers of a service for an object. Hosts of a region get the same ranking if they agree on the workers. */
export class WorkerRanking {
	readonly #maxCopies: number;

	constructor(private readonly options: WorkerRankingOptions, private readonly fleet: Fleet) {
		this.#maxCopies = options.copies ?? DEFAULT_MAX_COPIES;
	}

	/** Selects the top workers by weighted rendezvous hashing. @param key hash of the object, or a random one. */
	rank(workers: readonly Worker[], key: number, service: string, kind: RequestKind): Worker[] {
		const localWeight = this.#computeLocalWeight(service, kind);
		const scored = workers.map(worker => {
			const weight = worker.registration.slots * (worker.region === this.options.region ? localWeight : 1);
			return {worker, score: computeRendezvousScore(key, worker.hash, weight)};
		});
		scored.sort((a, b) => b.score - a.score);
		return scored.slice(0, this.#maxCopies).map(({worker}) => worker);
	}

	/** Weight of a worker in the local region, relative to 1 for other regions; reduced if the region has less than an even share of the slots. */
	#computeLocalWeight(service: string, kind: RequestKind): number {
		const {nearness, uploadNearness, region: localRegion} = this.options;
		const configured = kind === RequestKind.Upload ? uploadNearness ?? DEFAULT_LOCAL_REGION_UPLOAD_WEIGHT : nearness ?? DEFAULT_LOCAL_REGION_WEIGHT;
		let slots = 0;
		let localSlots = 0;
		const regions = new Set<string>();
		for (const {registration, region} of this.fleet.listByService(service)) {
			slots += registration.slots;
			localSlots += region === localRegion ? registration.slots : 0;
			regions.add(region);
		}

		return Math.max(1, configured * Math.min(1, localSlots * regions.size / Math.max(1, slots)));
	}
}
