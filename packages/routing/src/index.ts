// Choice of the region, the entry host and the daemon's worker for a caller, and the hashes and samples that it uses.
// Routes and the placement of requests on entry hosts are in `@apricotwood/steering`.
export {computeRendezvousScore, hashText, toUnitInterval} from './hash.js';
export {
	blendByAge, computeAgeMs, weighByAge, type Sample,
} from './sample.js';
export {computeRampFraction, stepWeight} from './ramp.js';
export {
	HeadroomPolicy, LatencyPolicy, chooseWorker, createWorkerPolicy, type WorkerChoice, type WorkerPolicy, type WorkerView,
} from './worker-policy.js';
export {
	RegionReason, chooseRegion, rankHosts, type EntryHost, type RankedHost, type RegionChoice, type RegionPredicate,
} from './selection.js';
