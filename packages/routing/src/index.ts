export {hashText, toUnit} from './hash.js';
export {
	ageOf, blendByAge, weighByAge, type Figure,
} from './figure.js';
export {rampPart, stepWeight} from './ramp.js';
export {
	HeadroomPolicy, LatencyPolicy, chooseWorker, createWorkerPolicy, type WorkerChoice, type WorkerPolicy, type WorkerView,
} from './worker.js';
export {
	SteerReason, chooseRegion, rankHosts, type EntryHost, type RankedHost, type RegionChoice, type RegionView,
} from './steering.js';
