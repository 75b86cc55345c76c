export {CandidateIndex, type CandidateHost} from './candidates.js';
export {Holding, RateHolding} from './holding.js';
export {Holdings} from './holdings.js';
export {
	AcquiredUnits, findBlockedClaim, acquireAll, type ResourceClaim, type AcquireResult,
} from './taken.js';
export {divideUnits, type HostDemand} from './target.js';
export {
	EMPTY_SHARE, countFreeUnits, planHeldUnits, removeGoneHolders, setHolderUnits, type OwnShare, type ShareRow,
} from './share.js';
export {HostListing, isHolderGone, type HolderStatus} from './evidence.js';
